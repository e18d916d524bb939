#include "core/entry/request_flow.hpp"

namespace apricotlb
{

auto digest_of(request_head const& it) -> request_digest
{
    // FNV-1a with 64 bits. Entries of different builds must compute the same
    // digest, so the function is written out here: one from a library may
    // change.
    std::uint64_t hash = 14695981039346656037ULL;
    auto const add = [&hash](std::string_view text)
    {
        for (auto const c : text)
        {
            hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
        }
        hash = (hash ^ 0xffU) * 1099511628211ULL;
    };
    add(it.method);
    add(it.path);
    add(it.query);
    add(it.length ? std::to_string(it.length->value()) : "chunked");
    return request_digest{hash};
}

} // namespace apricotlb

#include "adapters/disk_log.hpp"

#include "adapters/posix_files.hpp"

namespace apricotlb
{

static_assert(log_store_port<disk_log<posix_files>>);

template class disk_log<posix_files>;

} // namespace apricotlb

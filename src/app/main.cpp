#include "app/cli.hpp"

#include <span>
#include <string>
#include <vector>

auto main(int argc, char** argv) -> int
{
    std::span const args{argv, static_cast<std::size_t>(argc)};
    std::vector<std::string> const words{args.begin() + 1, args.end()};
    return static_cast<int>(apricotlb::run_cli(words));
}

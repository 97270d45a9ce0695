#include "standins/common/record.hpp"

#include <CLI/CLI.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace
{

using namespace daisydoor;

std::ifstream open_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        throw std::runtime_error("cannot read " + path);
    }
    return in;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Compares the outcomes that callers got with the executions at targets");
    std::string record_path;
    std::vector<std::string> execution_paths;
    app.add_option("--record", record_path, "record of the callers")->required();
    app.add_option("--executions", execution_paths, "execution logs of the targets")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        auto record_file = open_file(record_path);
        const auto record = standins::read_record(record_file);
        std::vector<standins::execution> executions;
        for (const auto& path : execution_paths) {
            auto in = open_file(path);
            const auto more = standins::read_executions(in);
            executions.insert(executions.end(), more.begin(), more.end());
        }
        return standins::print_audit(std::cout, standins::audit(record, executions)) ? 0 : 1;
    } catch (const std::exception& ex) {
        std::cerr << "standin_audit: " << ex.what() << '\n';
        return 1;
    }
}

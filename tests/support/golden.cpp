#include "support/golden.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace daisydoor::support
{

std::string compare_with_golden(const std::string& folder, const std::string& name,
                                const std::vector<std::string>& transcript)
{
    const std::string path = folder + "/" + name + ".txt";
    if (std::getenv("DAISYDOOR_UPDATE_GOLDEN") != nullptr) {
        std::ofstream out(path);
        for (const auto& line : transcript) {
            out << line << '\n';
        }
        return out ? "" : "cannot write " + path;
    }
    std::ifstream in(path);
    if (!in) {
        return "golden file " + path + " is missing; scripts/update_golden.sh creates it";
    }
    std::string expected;
    for (std::size_t i = 0; i < transcript.size(); ++i) {
        if (!std::getline(in, expected) || expected != transcript[i]) {
            std::ostringstream out;
            out << path << " line " << i + 1 << ": expected '" << expected << "', got '" << transcript[i] << "'";
            return out.str();
        }
    }
    return std::getline(in, expected) ? path + ": transcript ends before '" + expected + "'" : "";
}

} // namespace daisydoor::support

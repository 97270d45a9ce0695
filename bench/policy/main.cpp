#include "policy/baselines.hpp"
#include "policy/system.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace daisydoor::policy
{
namespace
{

struct figures
{
    std::vector<double> p50, p99, p999, ratio, imbalance, refused_part, workspace_ratio;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

double spread(const std::vector<double>& values)
{
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    return values.empty() ? 0 : *high - *low;
}

void add(figures& out, const result& run, double ideal_p99, std::size_t arrivals, std::uint32_t workspaces)
{
    out.p50.push_back(run.percentile(0.5));
    out.p99.push_back(run.percentile(0.99));
    out.p999.push_back(run.percentile(0.999));
    out.ratio.push_back(run.percentile(0.99) / ideal_p99);
    out.imbalance.push_back(run.imbalance);
    out.refused_part.push_back(static_cast<double>(run.refused + run.unknown) / static_cast<double>(arrivals));
    double worst = 0;
    double best = 1e12;
    for (std::uint32_t workspace = 1; workspace < workspaces; ++workspace) {
        worst = std::max(worst, run.workspace_percentile(workspace, 0.99));
        best = std::min(best, run.workspace_percentile(workspace, 0.99));
    }
    out.workspace_ratio.push_back(best > 0 ? worst / best : 0);
}

void print(const std::string& name, const figures& it)
{
    std::printf("| %s | %.1f | %.1f | %.1f | %.2f (%.2f) | %.2f | %.4f | %.2f |\n", name.c_str(), median(it.p50),
                median(it.p99), median(it.p999), median(it.ratio), spread(it.ratio), median(it.imbalance),
                median(it.refused_part), median(it.workspace_ratio));
}

void measure(const deployment& where, workload_options options, std::uint64_t seeds)
{
    std::vector<figures> all(baseline_names.size() + 1);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto arrivals = make_workload(where, options);
        const auto ideal = run_baseline(baseline::ideal_queue, where, arrivals, seed);
        const double ideal_p99 = ideal.percentile(0.99);
        for (std::size_t i = 0; i < baseline_names.size(); ++i) {
            add(all[i], run_baseline(static_cast<baseline>(i), where, arrivals, seed), ideal_p99, arrivals.size(),
                options.workspaces);
        }
        add(all.back(), run_system(where, arrivals, options.workspaces, seed), ideal_p99, arrivals.size(),
            options.workspaces);
    }
    std::printf("\n%s, load %.0f%%, %s, workspace 0 sends %.0fx, %lu seeds\n\n", where.name.c_str(), options.load * 100,
                options.distribution == service_time::exponential ? "exponential" : "heavy-tailed", options.burst,
                static_cast<unsigned long>(seeds));
    std::printf(
        "| policy | p50 ms | p99 ms | p99.9 ms | p99 to ideal (spread) | imbalance | refused | workspaces' p99 |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (std::size_t i = 0; i < baseline_names.size(); ++i) {
        print(std::string(baseline_names[i]), all[i]);
    }
    print("daisydoor", all.back());
    std::fflush(stdout);
}

} // namespace
} // namespace daisydoor::policy

int main(int argc, char** argv)
{
    using namespace daisydoor::policy;
    CLI::App app{"Measures answer times and imbalance of the balancing policy beside baselines"};
    std::uint64_t seeds = 10;
    double seconds = 30;
    std::vector<double> loads{0.5, 0.8, 0.95, 1.2};
    double burst = 1;
    bool heavy = false;
    std::string name = "A";
    app.add_option("--seeds", seeds, "seeds 1 to N")->check(CLI::Range(1, 100));
    app.add_option("--seconds", seconds, "virtual seconds of each run")->check(CLI::Range(6, 600));
    app.add_option("--load", loads, "offered load as part of the slots' capacity");
    app.add_option("--burst", burst, "factor of workspace 0's share of requests");
    app.add_flag("--heavy", heavy, "heavy-tailed service times");
    app.add_option("--deployment", name, "A (7 hosts, 3 zones) or B (7 hosts, 4 zones)")
        ->check(CLI::IsMember({"A", "B"}));
    CLI11_PARSE(app, argc, argv);
    const deployment where =
        name == "A" ? deployment{"A", {3, 2, 2}, 3, 1, 5, 2000} : deployment{"B", {2, 2, 2, 1}, 5, 3, 5, 2000};
    for (const double load : loads) {
        workload_options options;
        options.load = load;
        options.seconds = seconds;
        options.burst = burst;
        options.distribution = heavy ? service_time::heavy_tailed : service_time::exponential;
        measure(where, options, seeds);
    }
    return 0;
}

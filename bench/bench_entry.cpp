#include "entry_load.hpp"

#include <benchmark/benchmark.h>

namespace daisydoor::bench
{
namespace
{

constexpr std::size_t datagram_count = 10000;

const config::snapshot_ptr& shared_snapshot()
{
    static const config::snapshot_ptr value = parse_snapshot(large_fleet_text());
    return value;
}

void run(benchmark::State& state, std::vector<wire::buffer> datagrams)
{
    entry::entry_core core({"zone-0"});
    core.on_configuration({}, shared_snapshot());
    std::size_t i = 0;
    while (state.KeepRunning()) {
        auto& buf = datagrams[i++ % datagrams.size()];
        benchmark::DoNotOptimize(core.on_datagram({}, buf.data(), buf.size(), core::milliseconds(0)));
    }
    if (core.counters().forwarded != static_cast<std::uint64_t>(state.iterations())) {
        state.SkipWithError("not every datagram was forwarded");
    }
}

void established_datagram(benchmark::State& state) { run(state, make_established(*shared_snapshot(), datagram_count)); }
BENCHMARK(established_datagram);

void open_datagram(benchmark::State& state) { run(state, make_opens(*shared_snapshot(), datagram_count)); }
BENCHMARK(open_datagram);

/// Time to replace the lookup tables, for which the entry stops forwarding.
void replace_configuration(benchmark::State& state)
{
    entry::entry_core core({"zone-0"});
    while (state.KeepRunning()) {
        core.on_configuration({}, shared_snapshot());
    }
}
BENCHMARK(replace_configuration)->Unit(benchmark::kMillisecond);

void parse_part(benchmark::State& state)
{
    const auto text = large_fleet_text();
    const auto content = text.part_text(0);
    const auto& zones = shared_snapshot()->zones;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(config::parse_part("services/0", content, zones));
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * content.size()));
}
BENCHMARK(parse_part)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace daisydoor::bench

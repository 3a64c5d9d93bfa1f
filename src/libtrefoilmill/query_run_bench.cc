/// CPU cost of one query in the entry role, by number of shards.
#include <benchmark/benchmark.h>

#include "entry_test_fixture.h"
#include "trefoilmill/snapshot_choice.h"

namespace trefoilmill {
namespace {

entry_context MakeWarmContext(const benchmark::State& state) {
  entry_context context =
      MakeContext({{"s", static_cast<int>(state.range(0))}});
  WarmAllEndpoints(At(0), context);
  return context;
}

void ChooseVersion(benchmark::State& state) {
  const entry_context context = MakeWarmContext(state);
  const std::vector<service_id> services{service_id("s")};
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseSnapshot(At(1), *context.catalog, services,
                                            {}, context.endpoints));
  }
  state.SetComplexityN(state.range(0));
}

void PlanQuery(benchmark::State& state) {
  entry_context context = MakeWarmContext(state);
  for (auto _ : state) {
    query_run run = query_run::Create(At(1), MakeQuery(), context).value();
    benchmark::DoNotOptimize(run.Start(At(1)));
    state.PauseTiming();
    run.Cancel(At(2));
    state.ResumeTiming();
  }
  state.SetComplexityN(state.range(0));
}

void PlanAndMergeQuery(benchmark::State& state) {
  entry_context context = MakeWarmContext(state);
  for (auto _ : state) {
    query_run run = query_run::Create(At(1), MakeQuery(), context).value();
    for (const send_shards& send : ActionsOf<send_shards>(run.Start(At(1)))) {
      std::vector<shard_reply> replies;
      replies.reserve(send.message.shards.size());
      for (const shard_request& request : send.message.shards)
        replies.push_back(AnswerReply(request.attempt, std::string(200, 'x')));
      benchmark::DoNotOptimize(run.OnReplies(At(6), std::move(replies)));
    }
  }
  state.SetComplexityN(state.range(0));
}

BENCHMARK(ChooseVersion)->Arg(10)->Arg(42)->Arg(100)->Arg(350)->Complexity();
BENCHMARK(PlanQuery)->Arg(10)->Arg(42)->Arg(100)->Arg(350)->Complexity();
BENCHMARK(PlanAndMergeQuery)
    ->Arg(10)
    ->Arg(42)
    ->Arg(100)
    ->Arg(350)
    ->Complexity();

}  // namespace
}  // namespace trefoilmill

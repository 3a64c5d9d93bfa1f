/// Cost of messages between daemons, by the number of shards in one.
#include <benchmark/benchmark.h>

#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill {
namespace {

shard_query_message Query(std::int64_t shards) {
  shard_query_message query;
  query.request = request_id("h1-1796332944198474-1");
  query.version = snapshot_version(7);
  query.remaining = std::chrono::milliseconds(300);
  query.body = std::string(200, 'q');
  for (std::int64_t i = 0; i < shards; ++i) {
    query.shards.push_back(
        {.attempt = attempt_id(0x123456789abcdefULL + i),
         .endpoint = endpoint_id("kiosk-counter-" + std::to_string(i) + "-a"),
         .shard = {.service = service_id("kiosk-counter-" + std::to_string(i)),
                   .shard = shard_id(0)}});
  }
  return query;
}

shard_reply_message Replies(std::int64_t shards) {
  shard_reply_message message;
  message.request = request_id("h1-1796332944198474-1");
  for (std::int64_t i = 0; i < shards; ++i) {
    message.replies.push_back({.attempt = attempt_id(0x123456789abcdefULL + i),
                               .outcome = verdict::kRan,
                               .service_time = std::chrono::milliseconds(8),
                               .instance = instance_id("kc-a-17"),
                               .payload = std::string(200, 'p')});
  }
  return message;
}

void EncodeQuery(benchmark::State& state) {
  const peer_frame frame{.message = Query(state.range(0))};
  for (auto _ : state) {
    benchmark::DoNotOptimize(EncodePeerFrame(frame));
  }
}

void DecodeQuery(benchmark::State& state) {
  const std::string bytes = EncodePeerFrame({.message = Query(state.range(0))});
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecodePeerFrame(bytes));
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}

void EncodeReplies(benchmark::State& state) {
  const peer_frame frame{.message = Replies(state.range(0))};
  for (auto _ : state) {
    benchmark::DoNotOptimize(EncodePeerFrame(frame));
  }
}

void DecodeReplies(benchmark::State& state) {
  const std::string bytes =
      EncodePeerFrame({.message = Replies(state.range(0))});
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecodePeerFrame(bytes));
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}

BENCHMARK(EncodeQuery)->Arg(1)->Arg(6)->Arg(35)->Arg(350);
BENCHMARK(DecodeQuery)->Arg(1)->Arg(6)->Arg(35)->Arg(350);
BENCHMARK(EncodeReplies)->Arg(1)->Arg(6)->Arg(35)->Arg(350);
BENCHMARK(DecodeReplies)->Arg(1)->Arg(6)->Arg(35)->Arg(350);

}  // namespace
}  // namespace trefoilmill

#define BOOST_TEST_MODULE peer_codec
#include "trefoilmill/wire/peer_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace trefoilmill {
namespace {

shard_query_message SampleQuery() {
  shard_query_message query;
  query.request = request_id("r-1");
  query.version = snapshot_version(7);
  query.remaining = std::chrono::milliseconds(180);
  query.body = std::string("\xff\x00 bytes", 8);
  query.shards = {
      {.attempt = attempt_id(UINT64_MAX),
       .endpoint = endpoint_id("kc1-a"),
       .shard = {.service = service_id("kc1"), .shard = shard_id(3)},
       .hedge_of = attempt_id(5)},
      {.attempt = attempt_id(2),
       .endpoint = endpoint_id("kc1-b"),
       .shard = {.service = service_id("kc1"), .shard = shard_id(4)},
       .hedge_of = std::nullopt}};
  return query;
}

BOOST_AUTO_TEST_CASE(query_round_trips_with_binary_body_and_optionals) {
  const shard_query_message sent = SampleQuery();
  const auto frame =
      DecodePeerFrame(EncodePeerFrame({.sent = {9, 1}, .message = sent}));
  BOOST_REQUIRE(frame.has_value());
  BOOST_TEST((frame.value().sent == hybrid_time{9, 1}));
  const auto& got = std::get<shard_query_message>(frame.value().message);
  BOOST_TEST(got.body == sent.body);
  BOOST_TEST((got.remaining == sent.remaining));
  BOOST_REQUIRE_EQUAL(got.shards.size(), 2U);
  BOOST_TEST((got.shards[0].hedge_of == attempt_id(5)));
  BOOST_TEST((got.shards[0].attempt == attempt_id(UINT64_MAX)));
  BOOST_TEST(!got.shards[1].hedge_of.has_value());
}

BOOST_AUTO_TEST_CASE(a_feed_round_trips) {
  const store_feed sent{.fresh = true,
                        .documents = {{document_id("endpoints"), revision(9)}},
                        .kind = document_id("endpoints"),
                        .from = revision(7),
                        .changes = {{.name = "i-1",
                                     .at = revision(9),
                                     .content = "{}",
                                     .deleted = true}}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<store_feed>(frame.value().message);
  BOOST_TEST(got.fresh);
  BOOST_TEST((got.documents == sent.documents));
  BOOST_TEST((got.from == revision(7)));
  BOOST_REQUIRE(got.changes.size() == 1U);
  BOOST_TEST(got.changes[0].name == "i-1");
  BOOST_TEST(got.changes[0].deleted);
}

BOOST_AUTO_TEST_CASE(a_host_tells_how_strong_it_is) {
  hello_message sent;
  sent.self.host.id = host_id("front-1");
  sent.self.host.millicores = 120;
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<hello_message>(frame.value().message);
  BOOST_TEST((got.self.host == sent.self.host));
}

/// The sample query as bytes, with another element at `index` of the frame.
std::string SampleWith(std::size_t index, const nlohmann::json& element) {
  auto frame =
      nlohmann::json::from_cbor(EncodePeerFrame({.message = SampleQuery()}));
  frame.at(index) = element;
  std::string bytes;
  nlohmann::json::to_cbor(frame, bytes);
  return bytes;
}

BOOST_AUTO_TEST_CASE(numbers_that_their_field_cannot_hold_are_refused) {
  constexpr std::size_t kLogical = 2;
  constexpr std::size_t kPriority = 6;
  BOOST_TEST(DecodePeerFrame(SampleWith(kPriority, -1)).has_value());
  BOOST_TEST(!DecodePeerFrame(SampleWith(kPriority, UINT64_MAX)).has_value());
  BOOST_TEST(!DecodePeerFrame(SampleWith(kPriority, INT64_MIN)).has_value());
  BOOST_TEST(!DecodePeerFrame(SampleWith(kPriority, 1U << 31)).has_value());
  BOOST_TEST(DecodePeerFrame(SampleWith(kLogical, UINT32_MAX)).has_value());
  BOOST_TEST(!DecodePeerFrame(SampleWith(kLogical, 1ULL << 32)).has_value());
}

BOOST_AUTO_TEST_CASE(times_beyond_a_day_are_refused) {
  constexpr std::size_t kRemaining = 5;
  constexpr std::int64_t kDayUs = 86'400'000'000;
  BOOST_TEST(DecodePeerFrame(SampleWith(kRemaining, kDayUs)).has_value());
  BOOST_TEST(DecodePeerFrame(SampleWith(kRemaining, -kDayUs)).has_value());
  for (const std::int64_t us :
       {kDayUs + 1, -kDayUs - 1, INT64_MAX, INT64_MIN}) {
    BOOST_TEST(!DecodePeerFrame(SampleWith(kRemaining, us)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(every_kind_round_trips) {
  const std::vector<peer_message> messages = {
      hello_message{},
      ping_message{},
      ack_message{},
      ping_request_message{},
      announce_message{},
      document_request{},
      document_body{},
      shard_query_message{},
      shard_reply_message{},
      hedge_started_message{},
      shard_cancel_message{},
      store_feed{},
      endpoint_troubles{},
      endpoint_limits_message{},
      endpoint_reach_message{.is_cut_off = true},
      quarantine_reports_message{
          .reports = {{.request = request_fingerprint(~std::uint64_t{0}),
                       .strikes = {{.source = 1, .age = duration(5)}},
                       .cleared_age = duration(7),
                       .stored_in = store_era(2)}}},
      quarantine_digest_message{.digest = 3, .is_reply = true},
      rollout_report_message{},
      rollout_stage_message{
          .news = {{.order = {}, .stage = rollout_stage::kRamp}}},
      quota_request_message{},
      quota_grant_message{},
      organisation_demand_message{},
      object_patch_message{.kind = document_id("configuration"),
                           .name = "main",
                           .base_digest = ~std::uint64_t{0},
                           .removed = {part_digest(7)},
                           .added = std::string("\0\xff", 2)}};
  BOOST_TEST(messages.size() == std::variant_size_v<peer_message>);
  for (const auto& message : messages) {
    const auto frame = DecodePeerFrame(EncodePeerFrame({.message = message}));
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame.value().message.index() == message.index());
  }
}

BOOST_AUTO_TEST_CASE(cancel_keeps_its_scope) {
  for (const bool only_queued : {false, true}) {
    const shard_cancel_message sent{.request = request_id("r-1"),
                                    .attempts = {attempt_id(1)},
                                    .only_queued = only_queued};
    const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
    BOOST_REQUIRE(frame.has_value());
    const auto& got = std::get<shard_cancel_message>(frame.value().message);
    BOOST_TEST(got.only_queued == only_queued);
  }
}

BOOST_AUTO_TEST_CASE(truncated_and_extended_frames_are_refused) {
  const std::string bytes = EncodePeerFrame({.message = SampleQuery()});
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    BOOST_TEST(!DecodePeerFrame(bytes.substr(0, length)).has_value());
  }
  BOOST_TEST(!DecodePeerFrame(bytes + "x").has_value());
}

BOOST_AUTO_TEST_CASE(mutated_frames_never_crash_the_decoder) {
  const std::string bytes = EncodePeerFrame({.message = SampleQuery()});
  const bool held = rc::check([&bytes] {
    std::string mutated = bytes;
    const auto places =
        *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()),
                          rc::gen::arbitrary<char>()));
    for (const auto& [place, byte] : places) {
      mutated[place] = byte;
    }
    const auto frame = DecodePeerFrame(mutated);
    if (frame.has_value()) {
      // What decodes must encode and decode again.
      RC_ASSERT(DecodePeerFrame(EncodePeerFrame(frame.value())).has_value());
    }
  });
  BOOST_TEST(held);
}

}  // namespace
BOOST_AUTO_TEST_CASE(deep_nesting_is_refused_and_not_followed) {
  // 0x81 and 0x9f open arrays, 0xa1 and 0xbf maps, of one and of any length.
  for (const char opening : {'\x81', '\x9f', '\xa1', '\xbf'}) {
    BOOST_TEST(
        DecodePeerFrame(std::string(kMaxPeerFrameBytes, opening)).has_error());
  }
  std::string maps;
  while (maps.size() + 2 < kMaxPeerFrameBytes) {
    maps += "\xa1\x60";  // A map whose one key is empty.
  }
  BOOST_TEST(DecodePeerFrame(maps).has_error());
}

BOOST_AUTO_TEST_CASE(digests_name_the_era_of_the_store) {
  store_feed sent;
  sent.documents = {
      {.id = document_id("endpoints"), .in_force = revision(store_era(2), 9)},
      {.id = document_id("hosts"), .in_force = revision(8)}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<store_feed>(frame.value().message);
  BOOST_REQUIRE(got.documents.size() == 2U);
  BOOST_TEST((got.documents[0].in_force == revision(store_era(2), 9)));
  BOOST_TEST((got.documents[1].in_force == revision(8)));
}

BOOST_AUTO_TEST_CASE(departures_round_trip) {
  const endpoint_troubles sent{
      .reports = {},
      .departures = {{.endpoint = endpoint_id("i-7"), .started_ms = 1700}}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<endpoint_troubles>(frame.value().message);
  BOOST_REQUIRE(got.departures.size() == 1U);
  BOOST_TEST(got.departures[0].endpoint.value() == "i-7");
  BOOST_TEST(got.departures[0].started_ms == 1700U);
}

BOOST_AUTO_TEST_CASE(request_limits_round_trip) {
  const endpoint_limits_message sent{
      .reports = {{.endpoint = endpoint_id("i-7"),
                   .started_ms = 1700,
                   .per_thousand_seconds = 23500,
                   .age = std::chrono::milliseconds(40)},
                  {.endpoint = endpoint_id("i-8")}}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<endpoint_limits_message>(frame.value().message);
  BOOST_REQUIRE(got.reports.size() == 2U);
  BOOST_TEST(got.reports[0].endpoint.value() == "i-7");
  BOOST_TEST(got.reports[0].started_ms == 1700U);
  BOOST_TEST((got.reports[0].per_thousand_seconds == 23500));
  BOOST_TEST((got.reports[0].age == std::chrono::milliseconds(40)));
  BOOST_TEST(!got.reports[1].per_thousand_seconds.has_value());
}

BOOST_AUTO_TEST_CASE(reports_of_rollouts_round_trip) {
  const rollout_order order{.service = service_id("shelf"),
                            .target = software_version("v2"),
                            .length = std::chrono::seconds(12)};
  const rollout_report_message sent{
      .reports = {{.order = order,
                   .process = 77,
                   .sequence = 5,
                   .stage = rollout_stage::kCutover,
                   .old_idle = true,
                   .sends = 900,
                   .new_sends = 30,
                   .totals = {{.route = route_id("r"),
                               .endpoint = endpoint_id("i-7"),
                               .answers = 12,
                               .failures = 3,
                               .failing_milli = -400,
                               .slow_milli = 1200}}}}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<rollout_report_message>(frame.value().message);
  BOOST_REQUIRE(got.reports.size() == 1U);
  const rollout_report& report = got.reports.front();
  BOOST_TEST((report.order == order));
  BOOST_TEST(report.process == 77U);
  BOOST_TEST(report.sequence == 5U);
  BOOST_TEST((report.stage == rollout_stage::kCutover));
  BOOST_TEST(report.old_idle);
  BOOST_TEST(report.sends == 900);
  BOOST_TEST(report.new_sends == 30);
  BOOST_REQUIRE(report.totals.size() == 1U);
  BOOST_TEST(report.totals.front().failures == 3);
  BOOST_TEST(report.totals.front().failing_milli == -400);
  BOOST_TEST(report.totals.front().slow_milli == 1200);
}

BOOST_AUTO_TEST_CASE(permits_round_trip) {
  const quota_request_message sent{
      .wanted = {{.organisation = organisation_id("mill"), .milli = 2000},
                 {.organisation = organisation_id("barn"), .milli = -1000}}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got = std::get<quota_request_message>(frame.value().message);
  BOOST_REQUIRE(got.wanted.size() == 2U);
  BOOST_TEST(got.wanted[0].organisation == organisation_id("mill"));
  BOOST_TEST(got.wanted[0].milli == 2000);
  BOOST_TEST(got.wanted[1].milli == -1000);
}

BOOST_AUTO_TEST_CASE(demand_of_organisations_round_trips) {
  const organisation_demand_message sent{
      .summed_zone = zone_id("perth"),
      .demands = {{.organisation = organisation_id("mill"),
                   .urgent = 1200,
                   .other = 34'000}}};
  const auto frame = DecodePeerFrame(EncodePeerFrame({.message = sent}));
  BOOST_REQUIRE(frame.has_value());
  const auto& got =
      std::get<organisation_demand_message>(frame.value().message);
  BOOST_TEST(got.summed_zone == sent.summed_zone);
  BOOST_TEST((got.demands == sent.demands));
}

}  // namespace trefoilmill

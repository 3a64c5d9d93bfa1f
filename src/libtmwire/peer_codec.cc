#include "trefoilmill/wire/peer_codec.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "bounded_cbor.h"

namespace trefoilmill {
namespace {

using json = nlohmann::json;

/// Most elements of one list in a message.
constexpr std::size_t kMaxListLength = 100000;

/// Longest time in a message, before or after now. Receivers add it to the
/// present time, which must not overflow.
constexpr duration kMaxDuration = std::chrono::hours(24);

template <class archive, class record>
void VisitFields(archive& fields, record& r);

template <class type>
inline constexpr bool kIsId = false;
template <class tag, class rep>
inline constexpr bool kIsId<strong_id<tag, rep>> = true;
template <class type>
inline constexpr bool kIsOptional = false;
template <class value>
inline constexpr bool kIsOptional<std::optional<value>> = true;
template <class type>
inline constexpr bool kIsVector = false;
template <class value>
inline constexpr bool kIsVector<std::vector<value>> = true;

/// Turns records into nested JSON arrays, field by field.
class writer {
 public:
  template <class... field>
  void operator()(const field&... values) {
    (array_.push_back(ToJson(values)), ...);
  }
  json Take() { return std::move(array_); }

 private:
  template <class value>
  static json ToJson(const value& v) {
    if constexpr (kIsId<value>) {
      return v.value();
    } else if constexpr (kIsOptional<value>) {
      return v.has_value() ? ToJson(*v) : json(nullptr);
    } else if constexpr (kIsVector<value>) {
      json list = json::array();
      for (const auto& element : v) {
        list.push_back(ToJson(element));
      }
      return list;
    } else if constexpr (std::is_same_v<value, revision>) {
      return RevisionJson(v);
    } else if constexpr (std::is_same_v<value, duration>) {
      return v.count();
    } else if constexpr (std::is_enum_v<value>) {
      return static_cast<int>(v);
    } else if constexpr (std::is_same_v<value, std::string>) {
      // Bodies are opaque bytes, so text strings would be wrong for them.
      return json::binary({v.begin(), v.end()});
    } else if constexpr (std::is_arithmetic_v<value>) {
      return v;
    } else {
      writer nested;
      VisitFields(nested, v);
      return nested.Take();
    }
  }

  json array_ = json::array();
};

/// Fills records from nested JSON arrays; ok() turns false at the first
/// element that is missing or of another type, and stays so.
class reader {
 public:
  explicit reader(const json& array, std::size_t first = 0)
      : array_(array), next_(first), ok_(array.is_array()) {}

  template <class... field>
  void operator()(field&... values) {
    (ReadNext(values), ...);
  }
  /// Whether all elements were read and each had the right type.
  bool complete() const { return ok_ && next_ == array_.size(); }

 private:
  template <class value>
  void ReadNext(value& v) {
    ok_ = ok_ && next_ < array_.size() && FromJson(array_[next_], v);
    ++next_;
  }

  template <class number>
  static bool NumberFromJson(const json& element, number& v) {
    if constexpr (std::is_same_v<number, bool>) {
      return element.is_boolean() && (v = element.get<bool>(), true);
    } else if (element.is_number_unsigned()) {
      return AssignIfFits(element.get<std::uint64_t>(), v);
    } else {
      return element.is_number_integer() &&
             AssignIfFits(element.get<std::int64_t>(), v);
    }
  }

  template <class wide, class number>
  static bool AssignIfFits(wide read, number& v) {
    if (!std::in_range<number>(read)) {
      return false;
    }
    v = static_cast<number>(read);
    return true;
  }

  template <class value>
  static bool FromJson(const json& element, value& v) {
    if constexpr (kIsId<value>) {
      typename value::value_type plain{};
      return FromJson(element, plain) && (v = value(std::move(plain)), true);
    } else if constexpr (kIsOptional<value>) {
      return element.is_null() || FromJson(element, v.emplace());
    } else if constexpr (kIsVector<value>) {
      return ListFromJson(element, v);
    } else if constexpr (std::is_same_v<value, revision>) {
      return ReadRevision(element, v);
    } else if constexpr (std::is_same_v<value, duration>) {
      return DurationFromJson(element, v);
    } else if constexpr (std::is_enum_v<value>) {
      int code = 0;
      return NumberFromJson(element, code) && EnumFromCode(code, v);
    } else if constexpr (std::is_same_v<value, std::string>) {
      return StringFromJson(element, v);
    } else if constexpr (std::is_arithmetic_v<value>) {
      return NumberFromJson(element, v);
    } else {
      reader nested(element);
      VisitFields(nested, v);
      return nested.complete();
    }
  }

  static bool DurationFromJson(const json& element, duration& v) {
    duration::rep count{};
    if (!NumberFromJson(element, count) || duration(count) < -kMaxDuration ||
        duration(count) > kMaxDuration) {
      return false;
    }
    v = duration(count);
    return true;
  }

  template <class value>
  static bool ListFromJson(const json& element, std::vector<value>& list) {
    if (!element.is_array() || element.size() > kMaxListLength) {
      return false;
    }
    for (const json& item : element) {
      if (!FromJson(item, list.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  /// Identifiers are text on the wire and bodies are bytes; both are strings
  /// here.
  static bool StringFromJson(const json& element, std::string& text) {
    if (element.is_binary()) {
      const auto& bytes = element.get_binary();
      text.assign(bytes.begin(), bytes.end());
      return true;
    }
    return element.is_string() && (text = element.get<std::string>(), true);
  }

  static bool EnumFromCode(int code, verdict& v) {
    return InRange(code, verdict::kRan, v);
  }
  static bool EnumFromCode(int code, reason_code& v) {
    return InRange(code, reason_code::kQuotaExceeded, v);
  }
  static bool EnumFromCode(int code, member_state& v) {
    return InRange(code, member_state::kReleased, v);
  }
  static bool EnumFromCode(int code, rollout_stage& v) {
    return InRange(code, rollout_stage::kRejected, v);
  }
  static bool EnumFromCode(int code, host_record::state& v) {
    return InRange(code, host_record::state::kLeaving, v);
  }

  template <class enumeration>
  static bool InRange(int code, enumeration last, enumeration& v) {
    if (code < 0 || code > static_cast<int>(last)) {
      return false;
    }
    v = static_cast<enumeration>(code);
    return true;
  }

  const json& array_;
  std::size_t next_;
  bool ok_;
};

template <class type, class record>
inline constexpr bool kIs = std::is_same_v<std::remove_const_t<record>, type>;

/// The order of fields on the wire, in one place for both directions.
template <class archive, class record>
void VisitFields(archive& fields, record& r) {
  if constexpr (kIs<socket_address, record>) {
    fields(r.ip, r.port);
  } else if constexpr (kIs<shard_ref, record>) {
    fields(r.service, r.shard);
  } else if constexpr (kIs<document_digest, record>) {
    fields(r.id, r.in_force);
  } else if constexpr (kIs<host_record, record>) {
    fields(r.id, r.zone, r.peer, r.callers, r.administration, r.status,
           r.millicores);
  } else if constexpr (kIs<member_update, record>) {
    fields(r.host, r.life, r.state, r.report, r.documents);
  } else if constexpr (kIs<hello_message, record>) {
    fields(r.organisation, r.self);
  } else if constexpr (kIs<ping_message, record> || kIs<ack_message, record>) {
    fields(r.sequence, r.updates, r.documents);
  } else if constexpr (kIs<ping_request_message, record>) {
    fields(r.sequence, r.target);
  } else if constexpr (kIs<announce_message, record>) {
    fields(r.documents, r.updates);
  } else if constexpr (kIs<document_request, record>) {
    fields(r.id);
  } else if constexpr (kIs<document_body, record>) {
    fields(r.id, r.at, r.body);
  } else if constexpr (kIs<shard_request, record>) {
    fields(r.attempt, r.endpoint, r.shard, r.hedge_of);
  } else if constexpr (kIs<shard_query_message, record>) {
    fields(r.request, r.version, r.remaining, r.priority, r.idempotent, r.body,
           r.shards);
  } else if constexpr (kIs<endpoint_load, record>) {
    fields(r.endpoint, r.instance, r.in_flight, r.queued, r.allowance, r.cold,
           r.draining, r.latency);
  } else if constexpr (kIs<shard_reply, record>) {
    fields(r.attempt, r.outcome, r.reason, r.retry_after, r.service_time,
           r.held, r.instance, r.payload);
  } else if constexpr (kIs<shard_reply_message, record>) {
    fields(r.request, r.replies, r.loads);
  } else if constexpr (kIs<fed_object, record>) {
    fields(r.name, r.at, r.content, r.deleted);
  } else if constexpr (kIs<endpoint_health_report, record>) {
    fields(r.endpoint, r.slowdown_milli, r.failure_rate_milli);
  } else if constexpr (kIs<endpoint_troubles, record>) {
    fields(r.reports, r.departures);
  } else if constexpr (kIs<endpoint_departure, record>) {
    fields(r.endpoint, r.started_ms);
  } else if constexpr (kIs<endpoint_limits_message, record>) {
    fields(r.reports);
  } else if constexpr (kIs<endpoint_reach_message, record>) {
    fields(r.is_cut_off);
  } else if constexpr (kIs<quarantine_reports_message, record>) {
    fields(r.reports);
  } else if constexpr (kIs<quarantine_report, record>) {
    fields(r.request, r.strikes, r.cleared_age, r.stored_in, r.suspect_for,
           r.refused_for);
  } else if constexpr (kIs<strike_report, record>) {
    fields(r.source, r.age);
  } else if constexpr (kIs<quarantine_digest_message, record>) {
    fields(r.digest, r.is_reply);
  } else if constexpr (kIs<endpoint_limit_report, record>) {
    fields(r.endpoint, r.started_ms, r.per_thousand_seconds, r.age);
  } else if constexpr (kIs<store_feed, record>) {
    fields(r.fresh, r.documents, r.kind, r.from, r.changes);
  } else if constexpr (kIs<object_patch_message, record>) {
    fields(r.kind, r.name, r.at, r.base_digest, r.digest, r.removed, r.added);
  } else if constexpr (kIs<rollout_order, record>) {
    fields(r.service, r.target, r.length);
  } else if constexpr (kIs<evidence_total, record>) {
    fields(r.route, r.endpoint, r.answers, r.failures, r.failing_milli,
           r.slow_milli);
  } else if constexpr (kIs<rollout_report, record>) {
    fields(r.order, r.process, r.sequence, r.stage, r.old_idle, r.sends,
           r.new_sends, r.totals);
  } else if constexpr (kIs<rollout_report_message, record>) {
    fields(r.reports);
  } else if constexpr (kIs<rollout_table::stage_news, record>) {
    fields(r.order, r.stage, r.elapsed);
  } else if constexpr (kIs<rollout_stage_message, record>) {
    fields(r.news);
  } else if constexpr (kIs<permit_amount, record>) {
    fields(r.organisation, r.milli);
  } else if constexpr (kIs<quota_request_message, record>) {
    fields(r.wanted);
  } else if constexpr (kIs<quota_grant_message, record>) {
    fields(r.lent);
  } else if constexpr (kIs<organisation_demand, record>) {
    fields(r.organisation, r.urgent, r.other);
  } else if constexpr (kIs<organisation_demand_message, record>) {
    fields(r.summed_zone, r.demands);
  } else if constexpr (kIs<hedge_started_message, record>) {
    fields(r.request, r.attempt);
  } else {
    static_assert(kIs<shard_cancel_message, record>);
    fields(r.request, r.attempts, r.only_queued);
  }
}

failure Malformed(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

/// Elements of a frame before the message's own fields.
constexpr std::size_t kFrameHeaderLength = 3;

template <std::size_t index = 0>
bool ReadMessage(std::size_t kind, const json& frame, peer_message& message) {
  if constexpr (index == std::variant_size_v<peer_message>) {
    return false;
  } else {
    if (kind != index) {
      return ReadMessage<index + 1>(kind, frame, message);
    }
    reader fields(frame, kFrameHeaderLength);
    VisitFields(fields, message.emplace<index>());
    return fields.complete();
  }
}

}  // namespace

std::string EncodePeerFrame(const peer_frame& frame) {
  writer fields;
  fields(static_cast<std::uint32_t>(frame.message.index()), frame.sent.wall_us,
         frame.sent.logical);
  std::visit([&fields](const auto& m) { VisitFields(fields, m); },
             frame.message);
  std::string bytes;
  json::to_cbor(fields.Take(), bytes);
  return bytes;
}

result<peer_frame> DecodePeerFrame(std::string_view bytes) {
  if (bytes.size() > kMaxPeerFrameBytes) {
    return Malformed("frame too large");
  }
  const json frame = ParseBoundedCbor(bytes);
  if (!frame.is_array() || frame.size() < kFrameHeaderLength) {
    return Malformed("not a CBOR array with a frame header");
  }
  if (!frame[0].is_number_unsigned() || !frame[1].is_number_unsigned() ||
      !frame[2].is_number_unsigned() ||
      !std::in_range<std::uint32_t>(frame[2].get<std::uint64_t>())) {
    return Malformed("bad frame header");
  }
  peer_frame decoded;
  decoded.sent.wall_us = frame[1].get<std::uint64_t>();
  decoded.sent.logical = frame[2].get<std::uint32_t>();
  if (!ReadMessage(frame[0].get<std::size_t>(), frame, decoded.message)) {
    return Malformed("unknown message or wrong fields");
  }
  return decoded;
}

}  // namespace trefoilmill

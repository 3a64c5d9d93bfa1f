#include "trefoilmill_entry/quarantine_sync.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string>
#include <utility>

#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill/wire/quarantine_codec.h"

namespace trefoilmill::entry {
namespace {

/// Runs of the housekeeping between two comparisons with another host, at which
/// the store is brought up to date, too.
constexpr int kRunsPerComparison = 10;
/// A host that has started compares in so many runs in a row as soon as it
/// knows another one, to learn what it has missed.
constexpr int kInitialComparisons = 5;
/// Hosts that one host tells its news, each time. With every host passing news
/// on twice, the chance that one misses it is e^-16.
constexpr std::size_t kNewsReceivers = 8;
/// Records in one datagram, and in all that answer one comparison: those with
/// most strikes come first.
constexpr std::size_t kReportsPerMessage = 24;
constexpr std::size_t kReportsPerComparison = 240;
/// How much later than the one before it the next host in line writes a record
/// to the store, and how much more rarely it tries again.
constexpr duration kStoreTurn = std::chrono::milliseconds(1000);

}  // namespace

quarantine_sync::quarantine_sync(event_loop& loop,
                                 shared_request_state& shared_state,
                                 fleet_membership& fleet,
                                 peer_datagrams& datagrams,
                                 store_sync& store,
                                 telemetry& process_telemetry,
                                 std::mt19937_64 random)
    : loop_(loop),
      shared_state_(shared_state),
      fleet_(fleet),
      datagrams_(datagrams),
      store_(store),
      telemetry_(process_telemetry),
      random_(random) {}

void quarantine_sync::Start() {
  store_.ListOnce(object_kind::kQuarantinedRequests,
                  [this](const std::vector<stored_object>& objects) {
                    OnStoredObjects(objects);
                  });
}

void quarantine_sync::RunHousekeeping() {
  SendNews();
  if (initial_comparisons_ < kInitialComparisons && !OtherHosts().empty()) {
    ++initial_comparisons_;
    CompareWithOneHost();
  }
  if (++runs_ % kRunsPerComparison != 0) {
    return;
  }
  shared_state_.quarantine.Update(loop_.Now());
  if (shared_state_.quarantine.size() > 0) {
    CompareWithOneHost();
  }
  StoreRecords();
  telemetry_.meter->Set(
      metric::kQuarantinedRequests,
      static_cast<double>(shared_state_.quarantine.quarantined(loop_.Now())));
}

void quarantine_sync::SendNews() {
  const quarantine_reports_message news{
      .reports =
          shared_state_.quarantine.TakeNews(loop_.Now(), kReportsPerMessage)};
  if (news.reports.empty()) {
    return;
  }
  pacing_.OnSent(loop_.Now());
  std::vector<host_record> receivers;
  std::ranges::sample(OtherHosts(), std::back_inserter(receivers),
                      kNewsReceivers, random_);
  datagrams_.SendToAll(receivers, news);
}

void quarantine_sync::ScheduleNews() {
  if (!shared_state_.quarantine.has_news()) {
    return;
  }
  const time_point now = loop_.Now();
  if (const auto due = pacing_.OnNews(now)) {
    news_timer_ = loop_.RunAfter(*due - now, [this] {
      pacing_.OnDue();
      SendNews();
    });
  }
}

void quarantine_sync::CompareWithOneHost() {
  std::vector<host_record> receiver;
  std::ranges::sample(OtherHosts(), std::back_inserter(receiver), 1, random_);
  datagrams_.SendToAll(
      receiver,
      quarantine_digest_message{.digest = shared_state_.quarantine.Digest()});
}

void quarantine_sync::OnDigest(const host_id& from,
                               const quarantine_digest_message& message) {
  const std::uint64_t digest = shared_state_.quarantine.Digest();
  if (message.digest == digest) {
    return;
  }
  SendAll(from);
  if (!message.is_reply) {
    datagrams_.Send(
        from, quarantine_digest_message{.digest = digest, .is_reply = true});
  }
}

void quarantine_sync::SendAll(const host_id& to) {
  const auto reports =
      shared_state_.quarantine.Reports(loop_.Now(), kReportsPerComparison);
  for (std::size_t begin = 0; begin < reports.size();
       begin += kReportsPerMessage) {
    const auto part = reports | std::views::drop(begin) |
                      std::views::take(kReportsPerMessage);
    datagrams_.Send(
        to, quarantine_reports_message{.reports = {part.begin(), part.end()}});
  }
}

void quarantine_sync::OnReports(const host_id& from,
                                const quarantine_reports_message& message) {
  for (const quarantine_report& report : message.reports) {
    Merge(report, from.value());
  }
  ScheduleNews();
}

void quarantine_sync::Merge(const quarantine_report& report,
                            const std::string& source) {
  if (shared_state_.quarantine.Merge(loop_.Now(), report)) {
    telemetry_.log->Warning(
        log_message::kRequestQuarantined,
        {.peer = host_id(source), .detail = ToString(report.request)});
  }
}

void quarantine_sync::OnStoredObjects(
    const std::vector<stored_object>& objects) {
  for (const stored_object& object : objects) {
    auto report =
        ReadQuarantineRecord(object.content, loop_.SystemTimeMicros());
    const auto request = ParseFingerprint(object.name);
    if (!report.has_value() || !request.has_value()) {
      telemetry_.log->Warning(
          "malformed record of a quarantine ignored",
          {.document = document_id(object.name),
           .detail = report.has_value() ? "name" : report.error().detail});
      continue;
    }
    if (IsOutdated(report.value())) {
      store_.Delete(object_kind::kQuarantinedRequests, object.name);
      continue;
    }
    report.value().request = *request;
    report.value().stored_in = object.at.era();
    Merge(report.value(), "store");
  }
}

void quarantine_sync::StoreRecords() {
  for (const request_fingerprint request :
       shared_state_.quarantine.TakeClearedStored()) {
    store_.Delete(object_kind::kQuarantinedRequests, ToString(request));
  }
  const time_point now = loop_.Now();
  const auto unstored = shared_state_.quarantine.Unstored(now, store_.era());
  std::erase_if(unstored_since_, [&unstored](const auto& entry) {
    return std::ranges::find(unstored, entry.first) == unstored.end();
  });
  if (unstored.empty()) {
    return;
  }
  std::vector<host_id> others;
  std::ranges::transform(OtherHosts(), std::back_inserter(others),
                         &host_record::id);
  for (const request_fingerprint request : unstored) {
    const auto [since, is_new] = unstored_since_.try_emplace(request, now);
    const std::size_t rank = StoreRank(request, fleet_.self().id, others);
    const bool is_own_turn =
        now - since->second >= static_cast<int>(rank) * kStoreTurn;
    if (is_own_turn) {
      since->second = now;
      StoreRecord(request);
    }
  }
}

void quarantine_sync::StoreRecord(request_fingerprint request) {
  const auto report = shared_state_.quarantine.ReportOf(loop_.Now(), request);
  if (!report.has_value()) {
    return;
  }
  store_.CreateOnce(object_kind::kQuarantinedRequests, ToString(request),
                    WriteQuarantineRecord(*report, loop_.SystemTimeMicros()),
                    [this, request](store_era era) {
                      shared_state_.quarantine.OnStored(request, era);
                      telemetry_.log->Info(
                          log_message::kQuarantineStored,
                          {.document = document_id(ToString(request))});
                    });
}

std::vector<host_record> quarantine_sync::OtherHosts() const {
  std::vector<host_record> others;
  for (const auto& [id, m] : fleet_.members()) {
    const bool takes_requests = IsAlive(m) || m.state == member_state::kLeaving;
    if (id != fleet_.self().id && takes_requests) {
      others.push_back(m.host);
    }
  }
  return others;
}

}  // namespace trefoilmill::entry

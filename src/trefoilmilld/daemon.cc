#include "trefoilmilld/daemon.h"

#include <csignal>
#include <utility>
#include <variant>

namespace trefoilmill {
namespace {

/// How often the requests in progress are counted while stopping.
constexpr duration kProgressInterval = std::chrono::milliseconds(50);

host_lifecycle::config LifecycleConfig(const deployment* config) {
  const entries_config entries =
      config == nullptr ? entries_config() : config->entries;
  const query_config query = config == nullptr ? query_config() : config->query;
  return {.entry_ttl = entries.ttl, .max_deadline = query.max_deadline};
}

}  // namespace

daemon_process::daemon_process(event_loop& loop,
                               const daemon_settings& settings,
                               std::unique_ptr<telemetry> trace)
    : loop_(loop),
      trace_(std::move(trace)),
      store_(loop, settings, *trace_),
      lifecycle_(LifecycleConfig(nullptr)) {}

daemon_process::~daemon_process() = default;

result<std::unique_ptr<daemon_process>> daemon_process::Create(
    event_loop& loop,
    const daemon_settings& settings) {
  auto trace = telemetry::Create(loop, settings);
  if (!trace.has_value()) {
    return std::move(trace).error();
  }
  std::unique_ptr<daemon_process> made(
      new daemon_process(loop, settings, std::move(trace).value()));
  if (auto listening = made->Listen(settings); !listening.has_value()) {
    return std::move(listening).error();
  }
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number, [self = made.get()] {
      self->Perform(self->lifecycle_.Terminate(self->loop_.Now()));
    });
  }
  // Settings are read at the start only; without a handler the signal would end
  // the process.
  loop.OnSignal(SIGHUP, [self = made.get()] {
    self->trace_->Record({.kind = "sighup_ignored"});
  });
  return made;
}

result<void> daemon_process::Listen(const daemon_settings& settings) {
  auto fleet =
      fleet_task::Create(loop_, settings, store_, *trace_, FleetEvents());
  if (!fleet.has_value()) {
    return std::move(fleet).error();
  }
  fleet_ = std::move(fleet).value();
  MakeTasks(settings);
  auto callers = callers_server::Listen(loop_, settings, *entry_, *fleet_);
  if (!callers.has_value()) {
    return std::move(callers).error();
  }
  callers_ = std::move(callers).value();
  auto admin = admin_server::Listen(loop_, settings,
                                    {.fleet = *fleet_,
                                     .documents = *documents_,
                                     .entry = *entry_,
                                     .owner = *owner_,
                                     .writer = *writer_,
                                     .store = store_,
                                     .trace = *trace_,
                                     .lifecycle = lifecycle_});
  if (!admin.has_value()) {
    return std::move(admin).error();
  }
  admin_ = std::move(admin).value();
  return outcome::success();
}

fleet_events daemon_process::FleetEvents() {
  return {.received =
              [this](const host_id& from, peer_message message) {
                OnPeerMessage(from, std::move(message));
              },
          .digests =
              [this](const host_id& from, const auto& digests) {
                documents_->OnDigests(from, digests);
              },
          .lost =
              [this](const host_id& host) {
                entry_->OnHostLost(host);
                owner_->OnHostLost(host);
              },
          .view_changed = [this] { OnViewChanged(); }};
}

void daemon_process::MakeTasks(const daemon_settings& settings) {
  claims_ = std::make_unique<claim_task>(loop_, settings, store_, *trace_);
  entry_ = std::make_unique<entry_task>(
      loop_, settings, *fleet_, *claims_, *trace_,
      [this](const host_id& owner, peer_message message) {
        return ToOwner(owner, std::move(message));
      });
  owner_ = std::make_unique<owner_task>(
      loop_, settings, *fleet_, entry_->context().endpoints, *trace_,
      [this](const host_id& entry, peer_message message) {
        ToEntry(entry, std::move(message));
      });
  documents_ = std::make_unique<document_task>(
      loop_, settings, store_, *fleet_, *trace_,
      [this](const document_id& id) { OnAdopted(id); });
  writer_ = std::make_unique<document_writer>(store_, *documents_);
}

void daemon_process::OnPeerMessage(const host_id& from, peer_message message) {
  if (auto* query = std::get_if<shard_query_message>(&message)) {
    owner_->OnQuery(from, std::move(*query));
  } else if (const auto* cancel = std::get_if<shard_cancel_message>(&message)) {
    owner_->OnCancel(from, *cancel);
  } else if (const auto* replies = std::get_if<shard_reply_message>(&message)) {
    entry_->OnReplies(from, *replies);
  } else if (const auto* started =
                 std::get_if<hedge_started_message>(&message)) {
    entry_->OnHedgeStarted(from, *started);
  } else if (const auto* asked = std::get_if<document_request>(&message)) {
    documents_->OnRequest(from, *asked);
  } else if (const auto* body = std::get_if<document_body>(&message)) {
    documents_->OnBody(from, *body);
  }
}

void daemon_process::OnAdopted(const document_id& id) {
  const documents_in_force& documents = documents_->in_force();
  entry_->OnDocuments(documents);
  if (id == kDeploymentDocument) {
    Perform(lifecycle_.SetConfig(loop_.Now(),
                                 LifecycleConfig(documents.config.get())));
    fleet_->SetDeployment(documents.config);
  }
  if (id == kZonesDocument) {
    fleet_->SetZones(documents.zones);
  }
  if (documents.config != nullptr) {
    owner_->OnDocuments(documents);
  }
}

/// The fleet speaks up while the other tasks are still being made.
void daemon_process::OnViewChanged() {
  if (documents_ == nullptr) {
    return;
  }
  documents_->OnViewChanged();
  owner_->OnViewChanged();
}

bool daemon_process::ToOwner(const host_id& owner, peer_message message) {
  if (owner != fleet_->self()) {
    return fleet_->Send(owner, message);
  }
  loop_.Post([this, message = std::move(message)] {
    OnPeerMessage(fleet_->self(), message);
  });
  return true;
}

void daemon_process::ToEntry(const host_id& entry, peer_message message) {
  ToOwner(entry, std::move(message));
}

void daemon_process::Perform(const host_lifecycle::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void daemon_process::Do(const host_lifecycle::start_leaving& /*action*/) {
  trace_->Record({.kind = "host_leaving"});
  fleet_->Leave();
  callers_->Leave();
  owner_->Leave();
  progress_ = loop_.RunEvery(kProgressInterval, [this] { CountInProgress(); });
}

void daemon_process::Do(const host_lifecycle::release_endpoints& /*action*/) {
  fleet_->Release();
}

void daemon_process::Do(const host_lifecycle::start_draining& /*action*/) {
  trace_->Record({.kind = "host_draining"});
  callers_->Drain();
}

void daemon_process::Do(const host_lifecycle::stop& /*action*/) {
  trace_->Record({.kind = "host_stopped"});
  fleet_->Stop();
  // One more turn of the loop lets the last messages out.
  lifecycle_wake_ = loop_.RunAfter(kProgressInterval, [this] { loop_.Stop(); });
}

void daemon_process::Do(const host_lifecycle::wake& action) {
  lifecycle_wake_ = loop_.RunAfter(action.at - loop_.Now(), [this] {
    Perform(lifecycle_.Tick(loop_.Now()));
  });
}

void daemon_process::CountInProgress() {
  const std::size_t count =
      callers_->requests_in_progress() + admin_->requests_in_progress() +
      entry_->in_progress() + owner_->in_progress() + claims_->in_progress();
  const bool uses_endpoints =
      !fleet_->OwnEndpoints().empty() || owner_->in_progress() > 0;
  Perform(lifecycle_.SetUsesEndpoints(loop_.Now(), uses_endpoints));
  Perform(lifecycle_.SetInProgress(loop_.Now(), count));
}

}  // namespace trefoilmill

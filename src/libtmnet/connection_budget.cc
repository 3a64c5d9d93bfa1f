#include "trefoilmill/net/connection_budget.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

/// What a connection takes by itself, in bytes: buffers, and the states of
/// evhttp and of this process.
constexpr std::size_t kConnectionBytes = 8 << 10;
/// How much a sum has to grow, as a part of its limit, until connections are
/// chosen anew where the last choice did not bring it below the limit.
constexpr std::size_t kGrowthDivisor = 64;
/// Part of the accepted connections that are closed when descriptors run out.
constexpr std::size_t kDescriptorsDivisor = 8;

}  // namespace

connection_budget::entry::entry(connection_budget* owner, state* held)
    : owner_(owner), held_(held) {}

connection_budget::entry::entry(entry&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)), held_(other.held_) {}

connection_budget::entry& connection_budget::entry::operator=(
    entry&& other) noexcept {
  if (this != &other) {
    Leave();
    owner_ = std::exchange(other.owner_, nullptr);
    held_ = other.held_;
  }
  return *this;
}

connection_budget::entry::~entry() {
  Leave();
}

void connection_budget::entry::Leave() {
  connection_budget* owner = std::exchange(owner_, nullptr);
  if (owner == nullptr) {
    return;
  }
  if (!held_->closing) {
    owner->Discount(held_->use);
  }
  owner->connections_.erase(held_->use.number);
  owner->ForgetChoiceIfRelieved();
}

void connection_budget::entry::SetPhase(time_point now,
                                        connection_phase phase) {
  if (owner_ == nullptr || held_->closing || held_->use.phase == phase) {
    return;
  }
  owner_->Discount(held_->use);
  held_->use.phase = phase;
  held_->use.since = now;
  owner_->Count(held_->use);
}

void connection_budget::entry::SetBytes(std::size_t bytes) {
  if (owner_ != nullptr) {
    owner_->SetBytes(*held_, kConnectionBytes + bytes);
  }
}

void connection_budget::entry::KeepOpen(time_point now,
                                        connection_phase phase) {
  if (owner_ == nullptr || !held_->closing) {
    return;
  }
  held_->closing = false;
  held_->use.phase = phase;
  held_->use.since = now;
  owner_->Count(held_->use);
}

connection_phase connection_budget::entry::phase() const {
  return owner_ == nullptr ? connection_phase::kUnused : held_->use.phase;
}

time_point connection_budget::entry::since() const {
  return owner_ == nullptr ? time_point() : held_->use.since;
}

void connection_budget::OnClosed(
    std::function<void(const closed_connections&)> task) {
  on_closed_ = std::move(task);
}

connection_budget::entry connection_budget::AddInbound(
    time_point now,
    std::function<void()> close) {
  return Add({.since = now}, std::move(close));
}

connection_budget::entry connection_budget::AddOutbound(
    time_point now,
    std::function<void()> close) {
  const bool may_be_closed = close != nullptr;
  return Add(
      {.since = now, .is_inbound = false, .may_be_closed = may_be_closed},
      std::move(close));
}

connection_budget::entry connection_budget::Add(connection_use use,
                                                std::function<void()> close) {
  use.number = connection_number(++last_number_);
  use.bytes = kConnectionBytes;
  Count(use);
  state& added = connections_[use.number];
  added.use = use;
  added.close = std::move(close);
  Enforce();
  return {this, &added};
}

void connection_budget::SetBytes(state& changed, std::size_t bytes) {
  if (changed.closing || changed.use.bytes == bytes) {
    return;
  }
  Discount(changed.use);
  changed.use.bytes = bytes;
  Count(changed.use);
  Enforce();
}

void connection_budget::Count(const connection_use& use) {
  bytes_ += use.bytes;
  inbound_ += use.is_inbound ? 1 : 0;
  if (use.phase == connection_phase::kInProgress) {
    ++in_progress_;
    bytes_in_progress_ += use.bytes;
  }
}

void connection_budget::Discount(const connection_use& use) {
  bytes_ -= use.bytes;
  inbound_ -= use.is_inbound ? 1 : 0;
  if (use.phase == connection_phase::kInProgress) {
    --in_progress_;
    bytes_in_progress_ -= use.bytes;
  }
}

bool connection_budget::MayStartRequest(std::size_t bytes) const {
  return trefoilmill::MayStartRequest(kConnectionBytes + bytes, in_progress_,
                                      bytes_in_progress_, limits_);
}

void connection_budget::FreeDescriptors() {
  const std::size_t freed = 1 + inbound_ / kDescriptorsDivisor;
  Close({.inbound = inbound_ - std::min(inbound_, freed)});
}

void connection_budget::ForgetChoiceIfRelieved() {
  if (bytes_ <= limits_.bytes) {
    next_choice_.bytes = 0;
  }
  if (inbound_ <= limits_.inbound) {
    next_choice_.inbound = 0;
  }
}

void connection_budget::Enforce() {
  ForgetChoiceIfRelieved();
  const bool has_too_many_bytes =
      bytes_ > limits_.bytes && bytes_ >= next_choice_.bytes;
  const bool has_too_many_connections =
      inbound_ > limits_.inbound && inbound_ >= next_choice_.inbound;
  if (has_too_many_bytes || has_too_many_connections) {
    Close(limits_);
    next_choice_ = {.bytes = bytes_ + limits_.bytes / kGrowthDivisor,
                    .inbound = inbound_ + limits_.inbound / kGrowthDivisor};
  }
}

void connection_budget::Close(const connection_limits& limits) {
  std::vector<connection_use> uses;
  uses.reserve(connections_.size());
  for (const state& held : std::views::values(connections_)) {
    if (!held.closing) {
      uses.push_back(held.use);
    }
  }
  const closed_connections before{.bytes = bytes_, .inbound = inbound_};
  const auto chosen = ChooseConnectionsToClose(std::move(uses), limits);
  for (const connection_number number : chosen) {
    state& closed = connections_.at(number);
    Discount(closed.use);
    closed.closing = true;
    closed.close();
  }
  if (!chosen.empty() && on_closed_) {
    on_closed_({.count = chosen.size(),
                .bytes = before.bytes,
                .inbound = before.inbound});
  }
}

}  // namespace trefoilmill

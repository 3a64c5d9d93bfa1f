/// Helper functions and limits shared by the source files of `membership`.
#ifndef TREFOILMILL_MEMBERSHIP_RULES_H_
#define TREFOILMILL_MEMBERSHIP_RULES_H_

#include <cstddef>
#include <vector>

#include "trefoilmill/membership.h"

namespace trefoilmill {

/// Largest fleet, in hosts, in which document reports are gossiped to all
/// hosts. In larger fleets gossip would make up much of the traffic between
/// zones, and at thousands of hosts exceed the limit on control traffic per
/// host, so reports are exchanged only with peers on messages that are sent
/// anyway. Larger fleets also limit the rate of member tables and carry fewer
/// updates per message.
inline constexpr std::size_t kMaxSmallFleetSize = 32;

/// Whether a host in `state` takes new work.
bool AcceptsWork(member_state state);

/// Whether a host in `state` is leaving but still answers.
bool IsLeaving(member_state state);

/// Whether a host in `state` still answers.
bool IsReachable(member_state state);

/// Whether a claim about a member replaces what is known: a higher incarnation
/// does, and within one incarnation the state of higher precedence.
bool Supersedes(incarnation incarnation_number,
                member_state state,
                const member& known);

/// The gossip update that describes `m`.
member_update UpdateFromMember(const member& m);

/// The member that `update` describes.
member MemberFromUpdate(const member_update& update);

/// Sets the revision of one document to the higher of the known one and that of
/// `digest`. Adds an unknown document.
void MergeDigest(std::vector<document_digest>& documents,
                 const document_digest& digest);

}  // namespace trefoilmill

#endif  // TREFOILMILL_MEMBERSHIP_RULES_H_

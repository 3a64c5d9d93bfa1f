/// Selects the hosts that are advertised to callers; entry_list.h builds one
/// caller's list out of them.
///
/// Callers connect to a random one of the addresses that they are given, so a
/// host is relieved of load only if it is not advertised. Hosts with much less
/// processor capacity than the others are left out as long as the stronger ones
/// suffice. They are then standby hosts, which still serve any caller that
/// connects.
///
/// Two load conditions call for this. With uneven hosts, a query over many
/// shards takes longer on a weak host than its latency objective allows. With
/// many hosts and little traffic, each host sends to an endpoint so rarely that
/// it detects a pause of the endpoint late.
#ifndef TREFOILMILL_PROCESS_ENTRY_HOSTS_H_
#define TREFOILMILL_PROCESS_ENTRY_HOSTS_H_

#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/process/sending_hosts.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Selects the hosts to advertise out of `serving`, in descending order of
/// capacity. The result does not depend on the order of `serving`, so that all
/// hosts with the same view select the same ones.
std::vector<host_record> SelectAdvertisedHosts(
    std::vector<host_record> serving);

/// Whether `host` is advertised to callers. Also true while `advertised` is
/// empty, because no hosts have been selected yet.
bool IsAdvertised(const host_id& host,
                  const std::vector<host_record>& advertised);

/// Whether a host that started `running_for` ago leaves endpoints' connections
/// to others: it does not know the list of hosts yet, or would not be
/// advertised if all `known` hosts were alive. When all hosts return at once,
/// the endpoints would otherwise be busy with connections that few callers use.
/// Later the hosts know who is alive.
bool LeavesConnectionsToOthers(duration running_for,
                               const host_id& self,
                               bool hosts_are_listed,
                               const std::vector<host_record>& known);

/// Whether `self` is the first of its availability zone among `advertised`,
/// which reports to other zones for all of them. At most one host of a zone is,
/// among hosts with the same view.
bool IsFirstOfZone(const host_record& self,
                   const std::vector<host_record>& advertised);

/// The hosts that may be sending to endpoints for many callers: those that are
/// advertised, and those that would be if all of `known` were alive. `known` is
/// as in CountSendingHosts().
std::vector<host_id> SelectSenders(const std::vector<host_record>& advertised,
                                   const std::vector<host_record>& known);

/// Counts the hosts that may be sending to endpoints, from which `self` derives
/// its share of the limits that all hosts have in common.
///
/// `known` holds every host that was seen or announced, dead ones included: a
/// strong host that died may come back, or may be partitioned and still
/// sending. The count of advertised hosts is therefore never lower than if all
/// known hosts were alive.
sending_hosts CountSendingHosts(const host_id& self,
                                const std::vector<host_record>& advertised,
                                const std::vector<host_record>& known);

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENTRY_HOSTS_H_

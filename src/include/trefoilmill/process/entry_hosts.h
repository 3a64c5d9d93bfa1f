/// Which hosts callers may be told to connect to; entry_list.h picks out of
/// them for one caller.
///
/// Callers pick at random among the addresses they get. A host is therefore
/// spared only by not being named: hosts that are much weaker than the others
/// are left out while the stronger ones suffice. The hosts that are left out
/// stand by; they still serve whoever connects.
///
/// Answers the load patterns "uneven hosts" (a query over many shards costs a
/// weak host longer than its objective) and "many hosts, little traffic" (hosts
/// that rarely meet an endpoint learn late that it paused).
#ifndef TREFOILMILL_PROCESS_ENTRY_HOSTS_H_
#define TREFOILMILL_PROCESS_ENTRY_HOSTS_H_

#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/process/sending_hosts.h"

namespace trefoilmill {

/// The hosts to name out of those that serve, strongest first. All hosts
/// compute the same from the same view.
std::vector<host_record> ChooseEntryHosts(std::vector<host_record> serving);

/// Whether callers are told of `host`; so it counts while `named` is empty,
/// when nothing is known yet.
bool IsNamed(const host_id& host, const std::vector<host_record>& named);

/// Counts, for the shares of `self`, those who may be sending. `known` are all
/// hosts that were heard of or announced themselves, dead ones too: strong ones
/// that died may come back, or be cut off and still sending, so that no fewer
/// are counted as named than if all of them lived.
sending_hosts CountSendingHosts(const host_id& self,
                                const std::vector<host_record>& named,
                                const std::vector<host_record>& known);

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENTRY_HOSTS_H_

/// The callers' side of the HTTP interface: queries out, answers and entry
/// lists in.
#ifndef TREFOILMILL_LOAD_CALLER_MESSAGES_H_
#define TREFOILMILL_LOAD_CALLER_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "load_config.h"
#include "observations.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

/// The request of one try. `remaining` is the time left of its deadline.
http_request MakeQuery(const load_config& config,
                       const std::string& caller,
                       const query_row& row,
                       const query_try& sent,
                       duration remaining);

/// Fills in how the try ended.
void TakeExchange(const http_result& exchange, query_try& sent);

struct entry_list {
  std::vector<socket_address> addresses;
  duration ttl{};
};

/// nullopt unless the reply is an entry list with at least one address.
std::optional<entry_list> ParseEntries(const http_result& exchange);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_CALLER_MESSAGES_H_

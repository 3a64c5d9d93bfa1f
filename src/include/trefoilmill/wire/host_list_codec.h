/// The platform's list of live and leaving hosts.
#ifndef TREFOILMILL_WIRE_HOST_LIST_CODEC_H_
#define TREFOILMILL_WIRE_HOST_LIST_CODEC_H_

#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Reads `{"hosts": [...]}`; fails with kBadRequest on a malformed text.
result<std::vector<host_record>> ParseHostList(const std::string& text);

std::string WriteHostList(const std::vector<host_record>& hosts);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_HOST_LIST_CODEC_H_

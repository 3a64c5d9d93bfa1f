/// HTTP replies of the operators' interface to changes of documents.
#ifndef TREFOILMILLD_ADMIN_REPLIES_H_
#define TREFOILMILLD_ADMIN_REPLIES_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/wire/config_error.h"
#include "trefoilmilld/document_writer.h"

namespace trefoilmill {

/// 400 with all errors.
http_response ConfigErrorsReply(const std::vector<config_error>& errors);

/// 200 with the revision, 409 with both sides, or 503 with a verdict. `mine`
/// was to replace `expected`.
http_response WriteEndReply(const write_end& end,
                            revision expected,
                            const std::string& mine);

}  // namespace trefoilmill

#endif  // TREFOILMILLD_ADMIN_REPLIES_H_

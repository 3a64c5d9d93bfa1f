/// `GET /v1/status`: one host's view of the fleet and its endpoints.
#ifndef TREFOILMILLD_STATUS_REPORT_H_
#define TREFOILMILLD_STATUS_REPORT_H_

#include "trefoilmill/wire/admin_codec.h"

namespace trefoilmill {

struct admin_view;

status_report MakeStatusReport(const admin_view& view);

}  // namespace trefoilmill

#endif  // TREFOILMILLD_STATUS_REPORT_H_

/// Time-line events as JSON, and forms of output for people and viewers.
#ifndef TREFOILMILL_WIRE_TIMELINE_CODEC_H_
#define TREFOILMILL_WIRE_TIMELINE_CODEC_H_

#include <map>
#include <string>
#include <vector>

#include "trefoilmill/timeline.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// `{"events": [...]}`, the reply of `GET /v1/timeline`.
std::string WriteTimeline(const std::vector<timeline_event>& events);

/// One event as a JSON object.
std::string WriteTimelineEvent(const timeline_event& event);

/// Reads such a reply; fails with kMalformedReply.
result<std::vector<timeline_event>> ParseTimeline(const std::string& text);

/// Reads the query parameters of `GET /v1/timeline`; fails with kBadRequest.
result<timeline_filter> ParseTimelineFilter(
    const std::map<std::string, std::string>& parameters);

/// How a time line is shown.
enum class timeline_format {
  kText,         ///< Aligned columns for people.
  kJsonLines,    ///< One JSON object a line.
  kChromeTrace,  ///< Chrome's trace-event format, for common viewers.
};

std::string FormatTimeline(const std::vector<timeline_event>& events,
                           timeline_format format);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_TIMELINE_CODEC_H_

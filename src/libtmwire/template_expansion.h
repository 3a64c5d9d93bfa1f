/// Puts parameters into a template: `{"$param": "name"}` becomes the value of
/// the parameter, or its default as the template declares it.
#ifndef TREFOILMILL_LIBTMWIRE_TEMPLATE_EXPANSION_H_
#define TREFOILMILL_LIBTMWIRE_TEMPLATE_EXPANSION_H_

#include <set>
#include <string>

#include "diagnostics.h"
#include "located_json.h"

namespace trefoilmill {

/// Replaces every reference in `document["template"]`, in place. References to
/// parameters that nobody declared or gave are errors, and are taken out.
/// Errors in a value that came from a parameter point to the parameter.
void ExpandTemplate(json& document, diagnostics& errors);

/// Names that `document["template"]["parameters"]` declares.
std::set<std::string> DeclaredParameters(const json& document);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_TEMPLATE_EXPANSION_H_

/// Whether a host owns an endpoint exclusively.
#ifndef TREFOILMILL_OWNERSHIP_STANDING_H_
#define TREFOILMILL_OWNERSHIP_STANDING_H_

namespace trefoilmill {

/// One host's ownership of one endpoint, as far as that host can tell.
enum class ownership_standing {
  kNotOwner,   ///< Accepts no new requests; requests in flight finish.
  kUncertain,  ///< Another host may own it at the same time: warm endpoints
               ///< get half of their limits, cold ones no requests.
  kCertain,    ///< The only owner: full limits, and cold starts are allowed.
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_OWNERSHIP_STANDING_H_

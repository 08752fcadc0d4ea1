// What the cloud offers: kinds of instances.
#ifndef PITCHFALL_CORE_AUTOSCALER_OFFER_H_
#define PITCHFALL_CORE_AUTOSCALER_OFFER_H_

#include <compare>
#include <map>
#include <string>

#include "core/model/records.h"

namespace pitchfall {

// A kind of instance that can be requested.
struct Offer {
  std::string type;  // name of a machine type
  std::string zone;
  bool spot = false;

  auto operator<=>(const Offer&) const = default;
};

// Numbers of instances of each kind.
using OfferCounts = std::map<Offer, int>;

// The kind of instance that the request asks for.
inline Offer OfferOf(const InstanceRequestRecord& record) {
  return {record.type, record.zone, record.spot};
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_OFFER_H_

// Offers: the kinds of instances that the cloud can create.
#ifndef PITCHFALL_CORE_AUTOSCALER_OFFER_H_
#define PITCHFALL_CORE_AUTOSCALER_OFFER_H_

#include <compare>
#include <map>
#include <string>

#include "core/model/records.h"

namespace pitchfall {

// A kind of instance that can be requested from the cloud.
struct Offer {
  std::string type;  // name of the machine type
  std::string zone;
  bool spot = false;  // false: an on-demand instance

  auto operator<=>(const Offer&) const = default;
};

// Number of instances of each offer.
using OfferCounts = std::map<Offer, int>;

// Returns the offer that the request is for.
inline Offer OfferOf(const InstanceRequestRecord& record) {
  return {record.type, record.zone, record.spot};
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_OFFER_H_

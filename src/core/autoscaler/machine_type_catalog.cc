#include "core/autoscaler/machine_type_catalog.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "core/model/http_status.h"

namespace pitchfall {
namespace {

constexpr Duration kFetchInterval = Millis(30000);
constexpr Duration kRetryDelay = Millis(1000);
// The price, in money per hour, of a type that the cloud does not list. It is
// above any real price, so that instances of the type are removed first.
constexpr double kUnlistedPrice = 1e9;
// The boot time of a type that the cloud does not list.
constexpr Duration kUnlistedBootTime = Millis(60000);

}  // namespace

MachineTypeCatalog::MachineTypeCatalog(Outbox& outbox, const Tuning& tuning,
                                       const StateCache& state_cache,
                                       TokenBucket& cloud,
                                       LeaderStateWriter& state_writer)
    : outbox_(outbox),
      tuning_(tuning),
      state_cache_(state_cache),
      cloud_(cloud),
      state_writer_(state_writer) {}

void MachineTypeCatalog::FetchIfDue() {
  const SteadyTime now = outbox_.now().steady;
  if (fetching_ || now < next_fetch_) return;
  if (!cloud_.Take(now, 1)) return;
  fetching_ = true;
  outbox_.CallCloud(GetTypes{}, tuning_.cloud_timeout,
                    guard_.Wrap([this](const CloudReply& reply) {
                      fetching_ = false;
                      const bool ok = reply.status == http_status::kOk &&
                                      !reply.types.empty();
                      const Duration delay = ok ? kFetchInterval : kRetryDelay;
                      next_fetch_ = outbox_.now().steady + delay;
                      if (ok) Store({reply.types});
                    }));
}

void MachineTypeCatalog::Store(TypesRecord types) {
  const auto& stored = state_cache_.types();
  if (stored && stored->value.types == types.types) return;
  if (state_writer_.write_pending()) {
    next_fetch_ = outbox_.now().steady + kRetryDelay;
    return;
  }
  Transaction transaction;
  transaction.conditions.push_back(
      {keys::kTypes, stored ? stored->mod_revision : 0});
  transaction.writes.push_back({keys::kTypes, std::move(types), 0});
  state_writer_.Write(std::move(transaction), [this](const StateReply& reply) {
    if (reply.status != http_status::kOk)
      next_fetch_ = outbox_.now().steady + kRetryDelay;
  });
}

double MachineTypeCatalog::PriceOf(const Offer& offer) const {
  const MachineType* type = state_cache_.FindType(offer.type);
  if (type == nullptr) return kUnlistedPrice;
  return offer.spot ? type->spot_price : type->price;
}

Duration MachineTypeCatalog::BootTimeOf(const Offer& offer) const {
  const MachineType* type = state_cache_.FindType(offer.type);
  return type == nullptr ? kUnlistedBootTime : type->boot;
}

std::vector<Offer> MachineTypeCatalog::OffersByPrice() const {
  std::vector<Offer> offers;
  for (const MachineType& type : types()) {
    for (const std::string& zone : type.zones) {
      offers.push_back({type.name, zone, true});
      offers.push_back({type.name, zone, false});
    }
  }
  std::stable_sort(offers.begin(), offers.end(),
                   [this](const Offer& left, const Offer& right) {
                     return PriceOf(left) < PriceOf(right);
                   });
  return offers;
}

double MachineTypeCatalog::MachinesFor(const Resources& resources) const {
  const Resources& capacity = types().front().capacity;
  auto machines = [](int64_t needed, int64_t size) {
    return size <= 0 ? 0.0
                     : static_cast<double>(needed) / static_cast<double>(size);
  };
  return std::max({machines(resources.cpus, capacity.cpus),
                   machines(resources.gpus, capacity.gpus),
                   machines(resources.memory, capacity.memory)});
}

bool MachineTypeCatalog::CanRun(const JobSpec& spec, const Offer& offer) const {
  const MachineType* type = state_cache_.FindType(offer.type);
  return type != nullptr && spec.resources.FitsIn(type->capacity) &&
         spec.AllowsType(offer.type) && (spec.spot || !offer.spot) &&
         (spec.zone.empty() || spec.zone == offer.zone);
}

std::set<std::string> MachineTypeCatalog::OpenZones(const Job& job) const {
  const JobSpec& spec = job.spec();
  std::map<std::string, uint32_t> tasks_in;
  for (const auto& [number, chunk] : job.chunks) {
    for (const Assignment& assignment : chunk.record.assigned) {
      ++tasks_in[assignment.zone];
    }
  }
  std::set<std::string> open;
  for (const MachineType& type : types()) {
    for (const std::string& zone : type.zones) {
      // A job with `spread` has at most half of its tasks (rounded up) in one
      // zone.
      const bool full =
          spec.spread && tasks_in[zone] + 1 > (spec.tasks + 1) / 2;
      if (!full) open.insert(zone);
    }
  }
  return open;
}

}  // namespace pitchfall

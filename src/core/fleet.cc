#include "core/fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/hash.h"

namespace pitchfall {
namespace {

constexpr Duration kTypesGap = Millis(30000);
constexpr Duration kListGap = Millis(5000);
constexpr Duration kResizeGap = Millis(1000);
constexpr Duration kRefusedFor = Millis(12000);
// Deleting earlier than this saves nothing.
constexpr Duration kMinimumCharge = Millis(60000);
constexpr uint32_t kMostPerRental = 50;

}  // namespace

Fleet::Fleet(Context& context, uint64_t token)
    : context_(context), token_(token) {
  context_.out.Log(LogLevel::kInfo, "event=leading token={}", token);
}

void Fleet::Store(Transaction txn, Outbox::StateHandler handler) {
  SteadyTime now = context_.now();
  context_.writes.Take(now, static_cast<double>(txn.writes.size()), -1e9);
  context_.requests.Take(now, 1, -1e9);
  txn.conditions.push_back({keys::Part(0), token_});
  storing_ = true;
  context_.out.CallState(
      std::move(txn), context_.tuning.state_timeout,
      [this, handler = std::move(handler),
       alive = std::weak_ptr<int>(alive_)](const StateReply& reply) {
        if (alive.expired()) return;
        handler(reply);
        // Known by reading, whatever the answer was.
        context_.follower.AfterRead(
            [this, alive = std::weak_ptr<int>(alive_)](bool) {
              if (!alive.expired()) storing_ = false;
            });
      });
}

void Fleet::Step() {
  SteadyTime now = context_.now();
  if (!context_.follower.Fresh()) return;
  if (!fetching_types_ && now >= next_types_) FetchTypes();
  if (!listing_ && now >= next_list_ && context_.cloud.Take(now, 1)) {
    listing_ = true;
    FetchList("", std::make_shared<std::set<std::string>>(), now);
  }
  FollowRentals();
  if (now >= next_resize_ && listed_once_ && context_.mirror.types()) {
    next_resize_ = now + kResizeGap;
    Resize();
  }
}

void Fleet::FetchTypes() {
  if (!context_.cloud.Take(context_.now(), 1)) return;
  fetching_types_ = true;
  context_.out.CallCloud(
      GetTypes{}, context_.tuning.cloud_timeout,
      [this, alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
        if (alive.expired()) return;
        fetching_types_ = false;
        bool ok = reply.status == 200 && !reply.types.empty();
        next_types_ = context_.now() + (ok ? kTypesGap : Millis(1000));
        if (ok) StoreTypes({reply.types});
      });
}

void Fleet::StoreTypes(TypesRecord types) {
  const auto& stored = context_.mirror.types();
  if (stored && stored->value.types == types.types) return;
  if (storing_) {
    next_types_ = context_.now() + Millis(1000);
    return;
  }
  Transaction txn;
  txn.conditions.push_back({keys::kTypes, stored ? stored->stamp : 0});
  txn.writes.push_back({keys::kTypes, std::move(types), 0});
  Store(std::move(txn), [this](const StateReply& reply) {
    if (reply.status != 200) next_types_ = context_.now() + Millis(1000);
  });
}

void Fleet::FetchList(std::string after,
                      std::shared_ptr<std::set<std::string>> seen,
                      SteadyTime started) {
  context_.out.CallCloud(
      ListMachines{std::move(after)}, context_.tuning.cloud_timeout,
      [this, seen, started,
       alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
        if (alive.expired()) return;
        SteadyTime now = context_.now();
        if (reply.status != 200) {
          listing_ = false;
          next_list_ = now + Millis(2000);
          return;
        }
        for (const ListedMachine& listed : reply.listed) {
          seen->insert(listed.name);
          bool is_new = !machines_.contains(listed.name);
          Known& known = machines_[listed.name];
          known.offer = {listed.type, listed.zone, listed.spot};
          // A list may be older than the one before.
          if (is_new || known.status == MachineStatus::kBooting) {
            known.status = listed.status;
          } else if (listed.status == MachineStatus::kFailed) {
            known.status = listed.status;
          }
          if (is_new) known.rented = started - listed.age;
          known.listed = now;
        }
        if (reply.more && !reply.listed.empty()) {
          FetchList(reply.listed.back().name, seen, started);
          return;
        }
        listing_ = false;
        listed_once_ = true;
        next_list_ = now + kListGap;
        OnList(*seen, started);
      });
}

void Fleet::OnList(const std::set<std::string>& seen, SteadyTime) {
  SteadyTime now = context_.now();
  Duration lag = 2 * context_.deployment.list_lag + Millis(5000);
  for (auto it = machines_.begin(); it != machines_.end();) {
    const Known& known = it->second;
    // Not yet listed, or an old list: only a long absence counts.
    bool missing = !seen.contains(it->first) && now - known.rented > lag &&
                   now - known.listed > lag;
    it = missing ? machines_.erase(it) : std::next(it);
  }
}

bool Fleet::Draining(const std::string& machine) const {
  const auto& drain = context_.mirror.drain();
  return drain && std::find(drain->value.machines.begin(),
                            drain->value.machines.end(),
                            machine) != drain->value.machines.end();
}

double Fleet::Price(const Offer& offer) const {
  const MachineType* type = context_.mirror.FindType(offer.type);
  if (type == nullptr) return 1e9;
  return offer.spot ? type->spot_price : type->price;
}

std::vector<Fleet::Offer> Fleet::OffersByPrice() const {
  std::vector<Offer> offers;
  for (const MachineType& type : context_.mirror.types()->value.types) {
    for (const std::string& zone : type.zones) {
      offers.push_back({type.name, zone, true});
      offers.push_back({type.name, zone, false});
    }
  }
  std::stable_sort(offers.begin(), offers.end(),
                   [this](const Offer& a, const Offer& b) {
                     return Price(a) < Price(b);
                   });
  return offers;
}

// Stands in for the design's sizing: the room asked for by all unfinished work,
// in machines, rounded up.
int Fleet::Wanted() {
  Resources room;
  std::map<std::string, Resources> teams;
  for (const auto& [id, job] : context_.mirror.open_jobs()) {
    if (job->record.final()) continue;
    const JobSpec& spec = job->spec();
    teams[spec.team] +=
        spec.need * static_cast<int64_t>(spec.tasks - std::min(spec.tasks,
                                                              job->done));
  }
  for (auto& [name, need] : teams) {
    auto team = context_.deployment.teams.find(name);
    if (team != context_.deployment.teams.end() &&
        team->second.cpus_limit > 0 && need.cpus > team->second.cpus_limit) {
      double share = static_cast<double>(team->second.cpus_limit) /
                     static_cast<double>(need.cpus);
      need.memory =
          static_cast<int64_t>(static_cast<double>(need.memory) * share);
      need.cpus = team->second.cpus_limit;
    }
    room += need;
  }
  const MachineType& type = context_.mirror.types()->value.types.front();
  auto machines = [](int64_t need, int64_t size) {
    return size <= 0 ? 0.0
                     : static_cast<double>(need) / static_cast<double>(size);
  };
  double most = std::max({machines(room.cpus, type.capacity.cpus),
                          machines(room.gpus, type.capacity.gpus),
                          machines(room.memory, type.capacity.memory)});
  return static_cast<int>(std::ceil(most));
}

void Fleet::Resize() {
  SteadyTime now = context_.now();
  std::set<std::string> busy;
  for (const auto& [id, job] : context_.mirror.open_jobs()) {
    for (const auto& [number, chunk] : job->chunks) {
      for (const Assignment& assignment : chunk.record.assigned) {
        busy.insert(assignment.machine);
      }
    }
  }
  int count = 0;
  std::vector<std::string> broken;
  for (auto& [name, known] : machines_) {
    if (busy.contains(name)) {
      known.worked = true;
      known.idle_since.reset();
    } else if (!known.idle_since) {
      known.idle_since = now;
    }
    if (Draining(name)) continue;
    const MachineType* type = context_.mirror.FindType(known.offer.type);
    Duration boot = type == nullptr ? Millis(60000) : type->boot;
    bool overdue = known.status == MachineStatus::kBooting && !known.worked &&
                   now - known.rented > 3 * boot + Millis(10000);
    if (known.status == MachineStatus::kFailed || overdue) {
      broken.push_back(name);
      continue;
    }
    ++count;
  }
  if (!broken.empty() && context_.cloud.Take(now, 1)) {
    for (const std::string& name : broken) {
      context_.out.Log(LogLevel::kInfo, "event=delete machine={} reason={}",
                       name,
                       machines_[name].status == MachineStatus::kFailed
                           ? "failed"
                           : "boot_overdue");
    }
    context_.out.CallCloud(
        DeleteMachines{broken}, context_.tuning.cloud_timeout,
        [this, broken,
         alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
          if (alive.expired() || reply.status != 200) return;
          for (const std::string& name : broken) machines_.erase(name);
        });
  }
  int pending = 0;
  for (const auto& [name, rental] : context_.mirror.rentals()) {
    if (rental.value.machines.empty()) {
      pending += static_cast<int>(rental.value.count);
    }
  }
  int target = std::min(Wanted(), static_cast<int>(context_.tuning.max_machines));
  context_.out.Log(LogLevel::kDebug,
                   "event=size target={} count={} pending={} busy={}", target,
                   count, pending, busy.size());
  if (storing_) return;
  if (target > count + pending) {
    below_since_.reset();
    for (const Offer& offer : OffersByPrice()) {
      auto refused = refused_until_.find(offer);
      if (refused != refused_until_.end() && now < refused->second) continue;
      RentalRecord record;
      record.type = offer.type;
      record.zone = offer.zone;
      record.spot = offer.spot;
      record.count = std::min<uint32_t>(
          kMostPerRental, static_cast<uint32_t>(target - count - pending));
      record.asked = context_.out.now().wall;
      std::string name = "r-" + std::to_string(token_) + "-" +
                         std::to_string(++rentals_made_);
      Transaction txn;
      txn.conditions.push_back({keys::Rental(name), 0});
      txn.writes.push_back({keys::Rental(name), std::move(record), 0});
      context_.out.Log(LogLevel::kInfo,
                       "event=rent name={} type={} zone={} spot={} count={} "
                       "target={} have={}",
                       name, offer.type, offer.zone, offer.spot,
                       target - count - pending, target, count);
      Store(std::move(txn), [](const StateReply&) {});
      return;
    }
    return;
  }
  if (target >= count) {
    below_since_.reset();
    return;
  }
  if (!below_since_) below_since_ = now;
  if (now - *below_since_ < context_.tuning.idle_before_return) return;
  // Idle machines go first, the dearest before the others.
  std::vector<std::pair<double, std::string>> idle;
  for (const auto& [name, known] : machines_) {
    if (Draining(name) || busy.contains(name)) continue;
    if (known.status != MachineStatus::kRunning) continue;
    if (now - known.rented < kMinimumCharge) continue;
    if (!known.idle_since ||
        now - *known.idle_since < context_.tuning.idle_before_return) {
      continue;
    }
    idle.push_back({-Price(known.offer), name});
  }
  std::sort(idle.begin(), idle.end());
  std::vector<std::string> names;
  for (const auto& [price, name] : idle) {
    if (static_cast<int>(names.size()) >= count - target) break;
    names.push_back(name);
  }
  if (!names.empty()) StoreDrain(names);
}

void Fleet::StoreDrain(const std::vector<std::string>& names) {
  const auto& stored = context_.mirror.drain();
  DrainRecord record;
  if (stored) {
    // Machines that are gone need no mention any more.
    for (const std::string& name : stored->value.machines) {
      if (machines_.contains(name)) record.machines.push_back(name);
    }
  }
  record.machines.insert(record.machines.end(), names.begin(), names.end());
  Transaction txn;
  txn.conditions.push_back({keys::kDrain, stored ? stored->stamp : 0});
  txn.writes.push_back({keys::kDrain, std::move(record), 0});
  context_.out.Log(LogLevel::kInfo, "event=return machines={}", names.size());
  Store(std::move(txn), [](const StateReply&) {});
}

// Rentals are stored first and sent then; what a predecessor stored is sent
// again under the same name, which rents nothing twice.
void Fleet::FollowRentals() {
  SteadyTime now = context_.now();
  for (const auto& [name, rental] : context_.mirror.rentals()) {
    if (rental.value.machines.empty()) {
      auto next = next_send_.find(name);
      if (sending_.contains(name)) continue;
      if (next != next_send_.end() && now < next->second) continue;
      if (!context_.cloud.Take(now, 1)) return;
      SendRental(name, rental.value);
      continue;
    }
    bool all_listed = true;
    for (const std::string& machine : rental.value.machines) {
      auto known = machines_.find(machine);
      if (known == machines_.end()) {
        // A successor learns of machines that are not listed yet from here.
        Duration age = context_.out.now().wall - rental.value.asked;
        if (age < 2 * context_.deployment.list_lag + Millis(10000)) {
          Known& fresh = machines_[machine];
          fresh.offer = {rental.value.type, rental.value.zone,
                         rental.value.spot};
          fresh.rented = now - std::max(age, Duration(0));
          all_listed = false;
        }
      } else if (known->second.listed == SteadyTime{}) {
        all_listed = false;
      }
    }
    if (all_listed && !storing_ && deleting_.insert(name).second) {
      Transaction txn;
      txn.conditions.push_back({keys::Rental(name), rental.stamp});
      txn.writes.push_back({keys::Rental(name), {}, 0});
      Store(std::move(txn),
            [this, name](const StateReply&) { deleting_.erase(name); });
    }
  }
}

void Fleet::SendRental(const std::string& name, const RentalRecord& record) {
  sending_.insert(name);
  context_.out.CallCloud(
      Rent{name, record.type, record.zone, record.spot, record.count},
      context_.tuning.cloud_timeout,
      [this, name, record,
       alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
        if (alive.expired()) return;
        SteadyTime now = context_.now();
        sending_.erase(name);
        next_send_[name] = now + Millis(1500);
        auto stored = context_.mirror.rentals().find(name);
        if (stored == context_.mirror.rentals().end()) return;
        Offer offer{record.type, record.zone, record.spot};
        bool over = reply.no_capacity || reply.status == 400 ||
                    (reply.status == 200 && reply.rented.empty());
        context_.out.Log(LogLevel::kInfo,
                         "event=rental name={} status={} no_capacity={} got={}",
                         name, reply.status, reply.no_capacity,
                         reply.rented.size());
        if (reply.status == 429) context_.cloud.Drain(now);
        if (over || reply.rented.size() < record.count) {
          if (reply.status == 200 || over) {
            refused_until_[offer] = now + kRefusedFor;
          }
        }
        if (!over && reply.status != 200) return;  // sent again later
        Transaction txn;
        txn.conditions.push_back({keys::Rental(name), stored->second.stamp});
        Write write{keys::Rental(name), {}, 0};
        if (!over) {
          RentalRecord answered = record;
          answered.machines = reply.rented;
          write.value = std::move(answered);
          for (const std::string& machine : reply.rented) {
            Known& known = machines_[machine];
            known.offer = offer;
            if (known.listed == SteadyTime{}) known.rented = now;
          }
        }
        txn.writes.push_back(std::move(write));
        Store(std::move(txn), [](const StateReply&) {});
      });
}

}  // namespace pitchfall

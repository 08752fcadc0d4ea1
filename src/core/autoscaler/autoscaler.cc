#include "core/autoscaler/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/autoscaler/sizing/tracking.h"

namespace pitchfall {
namespace {

constexpr Duration kListInterval = Millis(5000);
constexpr Duration kAdjustInterval = Millis(1000);
// Q: what a machine too many or too few costs against the tuned R of a move.
constexpr double kTrackingErrorWeight = 1.0;
constexpr Duration kRefusedFor = Millis(12000);
// Deleting earlier than this saves nothing.
constexpr Duration kMinimumCharge = Millis(60000);
constexpr uint32_t kMaxPerInstanceRequest = 50;
// Replicas on machines that are to go, at any moment.
constexpr uint32_t kMaxDrainingReplicas = 4;
// Of records, as JSON: an instance request without machines, the name of one
// (as long as any cloud is likely to give).
constexpr size_t kInstanceRequestBytes = 300;
constexpr size_t kMachineNameBytes = 32;

}  // namespace

void KeepWithin(std::vector<std::string>& names, size_t bytes) {
  size_t used = 64;  // the record's own words
  auto end = std::find_if(names.begin(), names.end(), [&](const auto& name) {
    used += name.size() + 3;
    return used > bytes;
  });
  names.erase(end, names.end());
}

Autoscaler::Autoscaler(Context& context, uint64_t fencing_token)
    : context_(context),
      fencing_token_(fencing_token),
      state_writer_(context.out, context.tuning, context.requests,
                    context.writes, context.state_watcher, fencing_token),
      machine_types_(context.out, context.tuning, context.state_cache,
                     context.cloud, state_writer_),
      sizing_history_(context.out, context.tuning, context.state_cache,
                      context.state_limits, machine_types_, state_writer_) {
  context_.out.Log(LogLevel::kInfo, "event=leading token={}", fencing_token);
}

void Autoscaler::Step() {
  SteadyTime now = context_.now();
  if (!context_.state_watcher.Fresh()) return;
  machine_types_.FetchIfDue();
  if (!listing_ && now >= next_list_ && context_.cloud.Take(now, 1)) {
    listing_ = true;
    FetchList("", std::make_shared<std::set<std::string>>(), now);
  }
  ReconcileInstanceRequests();
  if (now >= next_adjust_ && listed_once_ && machine_types_.Loaded()) {
    next_adjust_ = now + kAdjustInterval;
    AdjustSize();
  }
}

void Autoscaler::FetchList(std::string after,
                           const std::shared_ptr<std::set<std::string>>& seen,
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
          Instance& known = machines_[listed.name];
          known.offer = {listed.type, listed.zone, listed.spot};
          // A list may be older than the one before.
          if (is_new || known.status == MachineStatus::kBooting ||
              listed.status == MachineStatus::kFailed) {
            known.status = listed.status;
          }
          if (is_new) known.created = started - listed.age;
          known.listed = now;
        }
        if (reply.more && !reply.listed.empty()) {
          FetchList(reply.listed.back().name, seen, started);
          return;
        }
        listing_ = false;
        listed_once_ = true;
        next_list_ = now + kListInterval;
        OnList(*seen, started);
      });
}

void Autoscaler::OnList(const std::set<std::string>& seen, SteadyTime) {
  SteadyTime now = context_.now();
  Duration lag = 2 * context_.deployment.list_lag + Millis(5000);
  for (auto it = machines_.begin(); it != machines_.end();) {
    const Instance& known = it->second;
    // Not yet listed, or an old list: only a long absence counts.
    bool missing = !seen.contains(it->first) && now - known.created > lag &&
                   now - known.listed > lag;
    it = missing ? machines_.erase(it) : std::next(it);
  }
}

int Autoscaler::CountMachines(const Use& use) {
  SteadyTime now = context_.now();
  int count = 0;
  std::vector<std::string> broken;
  for (auto& [name, known] : machines_) {
    if (use.contains(name)) {
      known.worked = true;
      known.idle_since.reset();
    } else if (!known.idle_since) {
      known.idle_since = now;
    }
    if (context_.state_cache.Draining(name)) continue;
    Duration boot = machine_types_.BootTimeOf(known.offer);
    bool overdue = known.status == MachineStatus::kBooting && !known.worked &&
                   now - known.created > 3 * boot + Millis(10000);
    if (known.status == MachineStatus::kFailed || overdue) {
      broken.push_back(name);
      continue;
    }
    ++count;
  }
  if (!broken.empty()) DeleteBroken(std::move(broken));
  return count;
}

void Autoscaler::DeleteBroken(std::vector<std::string> names) {
  if (!context_.cloud.Take(context_.now(), 1)) return;
  if (names.size() > 100) names.resize(100);
  for (const std::string& name : names) {
    context_.out.Log(LogLevel::kInfo, "event=delete machine={} reason={}", name,
                     machines_[name].status == MachineStatus::kFailed
                         ? "failed"
                         : "boot_overdue");
  }
  context_.out.CallCloud(DeleteMachines{names}, context_.tuning.cloud_timeout,
                         [this, names, alive = std::weak_ptr<int>(alive_)](
                             const CloudReply& reply) {
                           if (alive.expired() || reply.status != 200) return;
                           for (const std::string& name : names)
                             machines_.erase(name);
                         });
}

int Autoscaler::Pending(bool ordinary_only) const {
  int pending = 0;
  for (const auto& [name, instance_request] :
       context_.state_cache.instance_requests()) {
    if (!instance_request.value.machines.empty()) continue;
    if (ordinary_only && instance_request.value.spot) continue;
    pending += static_cast<int>(instance_request.value.count);
  }
  return pending;
}

void Autoscaler::AdjustSize() {
  SteadyTime now = context_.now();
  sizing_history_.RecordPeriod(decision_, context_.partition_count);
  Use use;
  for (const auto& [id, job] : context_.state_cache.open_jobs()) {
    for (const auto& [number, chunk] : job->chunks) {
      for (const Assignment& assignment : chunk.record.assigned) {
        MachineUse& machine = use[assignment.machine];
        machine.resources += job->spec().resources;
        machine.by_priority[job->spec().priority] += job->spec().resources;
        if (job->spec().shape == Shape::kService) ++machine.replicas;
      }
    }
  }
  Demand demand = MeasureDemand(
      context_.state_cache, context_.deployment,
      FailingJobs(context_.state_cache, context_.partition_count),
      context_.out.now().wall, context_.partition_count, std::nullopt);
  decision_.count = CountMachines(use);
  int count = decision_.count + Pending(false);
  const SizingTargets targets = sizing_history_.TargetsFor(demand);
  double move =
      sizing::FirstMove(count, targets.by_period, kTrackingErrorWeight,
                        context_.tuning.tracking_r);
  decision_.target = static_cast<int>(targets.by_period.front());
  context_.out.Log(LogLevel::kDebug,
                   "event=size target={} count={} room={:.2f} waiting={} "
                   "move={:.2f} busy={}",
                   decision_.target, count, targets.requested_machines,
                   demand.waiting, move, use.size());
  if (state_writer_.writing()) return;
  // Jobs that must not run on spot machines need enough of the others, and
  // every job at least one machine that it may run on.
  int ordinary = Pending(true);
  std::set<Offer> kinds;  // of which there is at least one
  for (const auto& [name, known] : machines_) {
    if (context_.state_cache.Draining(name)) continue;
    if (!known.offer.spot) ++ordinary;
    if (known.status != MachineStatus::kFailed) kinds.insert(known.offer);
  }
  for (const auto& [name, instance_request] :
       context_.state_cache.instance_requests()) {
    kinds.insert({instance_request.value.type, instance_request.value.zone,
                  instance_request.value.spot});
  }
  double needed = machine_types_.MachinesFor(demand.ordinary_only);
  if (needed > ordinary) {
    ScaleOut(static_cast<int>(std::ceil(needed - ordinary)), demand, true);
    return;
  }
  if (move > 1e-6) {
    surplus_since_.reset();
    int more = static_cast<int>(std::ceil(move - 1e-6));
    if (Uncordon(more) == 0) ScaleOut(more, demand, false);
    return;
  }
  for (const Job* job : demand.waiting_jobs) {
    bool replica = job->spec().shape == Shape::kService;
    if (!Served(*job, kinds) ||
        (replica && !HasCapacityForReplica(*job, use))) {
      ScaleOutFor(*job);
      return;
    }
  }
  int surplus = static_cast<int>(std::lround(-move));
  if (surplus <= 0) {
    surplus_since_.reset();
    return;
  }
  if (!surplus_since_) surplus_since_ = now;
  if (now - *surplus_since_ < context_.tuning.idle_before_return) return;
  ScaleIn(surplus, ordinary - static_cast<int>(std::ceil(needed)), use);
}

// Whether there is a machine of any kind, in a zone where another task of the
// job may start, that may run it.
bool Autoscaler::Served(const Job& job, const std::set<Offer>& kinds) const {
  const std::set<std::string> zones = machine_types_.OpenZones(job);
  return std::ranges::any_of(kinds, [&](const Offer& offer) {
    return zones.contains(offer.zone) &&
           machine_types_.CanRun(job.spec(), offer);
  });
}

// Whether a machine, or one that is on its way, has or can make capacity for
// one more replica of the job. The sum of what is requested does not tell: it
// may be free in pieces, or in a zone where no more of them may run.
bool Autoscaler::HasCapacityForReplica(const Job& job, const Use& use) const {
  const JobSpec& spec = job.spec();
  const std::set<std::string> zones = machine_types_.OpenZones(job);
  auto serves = [&](const Offer& offer) {
    return zones.contains(offer.zone) && machine_types_.CanRun(spec, offer);
  };
  for (const auto& [name, instance_request] :
       context_.state_cache.instance_requests()) {
    const InstanceRequestRecord& record = instance_request.value;
    bool coming = record.machines.empty();
    if (coming && serves({record.type, record.zone, record.spot})) return true;
  }
  return std::ranges::any_of(machines_, [&](const auto& entry) {
    const auto& [name, known] = entry;
    if (known.status == MachineStatus::kFailed || !serves(known.offer) ||
        context_.state_cache.Draining(name)) {
      return false;
    }
    Resources requested_machines =
        context_.state_cache.FindType(known.offer.type)->capacity;
    auto used = use.find(name);
    if (used == use.end()) return spec.resources.FitsIn(requested_machines);
    // Less important tasks can be displaced.
    for (const auto& [priority, resources] : used->second.by_priority) {
      if (priority >= spec.priority) requested_machines -= resources;
    }
    return spec.resources.FitsIn(requested_machines);
  });
}

bool Autoscaler::Refused(const Offer& offer) const {
  auto refused = refused_until_.find(offer);
  return refused != refused_until_.end() && context_.now() < refused->second;
}

// The names of the machines have to fit into the instance request's record.
uint32_t Autoscaler::MaxPerInstanceRequest() const {
  size_t bytes = context_.state_limits.UsableValueBytes();
  size_t names =
      (bytes - std::min(bytes, kInstanceRequestBytes)) / kMachineNameBytes;
  return std::clamp(static_cast<uint32_t>(names), 1U, kMaxPerInstanceRequest);
}

// As many instance requests as it takes, stored together: one for each turn
// would let a large fleet wait for its last machines for longer than they take
// to boot.
void Autoscaler::StoreInstanceRequests(OfferCounts order,
                                       ScalingReason reason) {
  decision_.reason = reason;
  Transaction txn;
  size_t most = std::max<size_t>(1, context_.state_limits.Operations() / 2);
  while (!order.empty() && txn.writes.size() < most) {
    // The largest first, so that no kind waits for another.
    auto next = std::ranges::max_element(
        order, {}, [](const auto& entry) { return entry.second; });
    const Offer offer = next->first;
    InstanceRequestRecord record;
    record.type = offer.type;
    record.zone = offer.zone;
    record.spot = offer.spot;
    record.count =
        std::min(MaxPerInstanceRequest(), static_cast<uint32_t>(next->second));
    record.asked = context_.out.now().wall;
    next->second -= static_cast<int>(record.count);
    if (next->second <= 0) order.erase(next);
    std::string name = fmt::format("r-{}-{}", fencing_token_, ++requests_made_);
    context_.out.Log(LogLevel::kInfo,
                     "event=scale_out name={} type={} zone={} spot={} count={} "
                     "target={} have={} reason={}",
                     name, offer.type, offer.zone, offer.spot, record.count,
                     decision_.target, decision_.count, ToString(reason));
    txn.conditions.push_back({keys::InstanceRequest(name), 0});
    txn.writes.push_back({keys::InstanceRequest(name), std::move(record), 0});
  }
  state_writer_.Write(std::move(txn), [](const StateReply&) {});
}

// The cheapest offers that have not been refused lately. Of several at the same
// price, which are zones, each gets its share: jobs may have to be spread over
// zones, and a zone may lose its machines.
void Autoscaler::ScaleOut(int count, const Demand& demand, bool ordinary_only) {
  bool spot_useful = demand.ordinary_only.cpus < demand.requested.cpus;
  OfferCounts have;
  for (const Offer& offer : machine_types_.OffersByPrice()) {
    if (offer.spot && (ordinary_only || !spot_useful)) continue;
    if (Refused(offer)) continue;
    if (!have.empty() && machine_types_.PriceOf(offer) >
                             machine_types_.PriceOf(have.begin()->first))
      break;
    have[offer] = 0;
  }
  if (have.empty()) return;
  for (const auto& [offer, machines] : CountByOffer()) {
    if (have.contains(offer)) have[offer] = machines;
  }
  OfferCounts order;
  for (; count > 0; --count) {
    auto fewest = std::ranges::min_element(
        have, {}, [](const auto& entry) { return entry.second; });
    ++fewest->second;
    ++order[fewest->first];
  }
  StoreInstanceRequests(std::move(order), ordinary_only
                                              ? ScalingReason::kOrdinary
                                              : ScalingReason::kTarget);
}

OfferCounts Autoscaler::CountByOffer() const {
  OfferCounts counts;
  for (const auto& [name, known] : machines_) {
    if (!context_.state_cache.Draining(name)) ++counts[known.offer];
  }
  for (const auto& [name, instance_request] :
       context_.state_cache.instance_requests()) {
    const InstanceRequestRecord& record = instance_request.value;
    if (!record.machines.empty()) continue;
    counts[{record.type, record.zone, record.spot}] +=
        static_cast<int>(record.count);
  }
  return counts;
}

void Autoscaler::ScaleOutFor(const Job& job) {
  const std::set<std::string> zones = machine_types_.OpenZones(job);
  for (const Offer& offer : machine_types_.OffersByPrice()) {
    if (!zones.contains(offer.zone) ||
        !machine_types_.CanRun(job.spec(), offer) || Refused(offer)) {
      continue;
    }
    StoreInstanceRequests({{offer, 1}}, ScalingReason::kUnserved);
    return;
  }
}

uint32_t Autoscaler::DrainingReplicas(const Use& use) const {
  uint32_t replicas = 0;
  for (const auto& [name, machine] : use) {
    if (context_.state_cache.Draining(name)) replicas += machine.replicas;
  }
  return replicas;
}

// Machines with replicas go last, and few of them at a time: each of these has
// to be stopped and started elsewhere. Empty machines go first, the dearest
// before the others. Of busy ones, which get no new tasks and go when they are
// empty, those with the least on them.
void Autoscaler::ScaleIn(int surplus, int spare_ordinary, const Use& use) {
  SteadyTime now = context_.now();
  std::vector<std::tuple<uint32_t, double, double, std::string>> choice;
  for (const auto& [name, known] : machines_) {
    if (context_.state_cache.Draining(name) ||
        known.status != MachineStatus::kRunning)
      continue;
    auto used = use.find(name);
    bool empty = used == use.end();
    // Before the least charge is used up returning it saves nothing.
    if (empty && now - known.created < kMinimumCharge) continue;
    if (empty && now - known.idle_since.value_or(now) <
                     context_.tuning.idle_before_return) {
      continue;
    }
    // What is lost while it empties, against the rent that is saved.
    double load =
        empty ? 0 : machine_types_.MachinesFor(used->second.resources);
    uint32_t replicas = empty ? 0 : used->second.replicas;
    choice.push_back({replicas, load / machine_types_.PriceOf(known.offer),
                      -machine_types_.PriceOf(known.offer), name});
  }
  std::sort(choice.begin(), choice.end());
  std::vector<std::string> names;
  uint32_t moving = DrainingReplicas(use);
  for (const auto& [replicas, cost, price, name] : choice) {
    if (static_cast<int>(names.size()) >= surplus) break;
    moving += replicas;
    if (replicas > 0 && moving > kMaxDrainingReplicas) break;
    // Jobs that must not run on spot machines keep what they need.
    bool ordinary = !machines_[name].offer.spot;
    if (ordinary && spare_ordinary <= 0) continue;
    if (ordinary) --spare_ordinary;
    names.push_back(name);
  }
  if (names.empty()) return;
  decision_.reason = ScalingReason::kSurplus;
  context_.out.Log(LogLevel::kInfo,
                   "event=scale_in machines={} target={} have={}", names.size(),
                   decision_.target, decision_.count);
  if (const auto& drain = context_.state_cache.drain()) {
    names.insert(names.begin(), drain->value.machines.begin(),
                 drain->value.machines.end());
  }
  StoreDrain(std::move(names));
}

// A machine that is still emptying is there at once and costs no boot.
int Autoscaler::Uncordon(int count) {
  const auto& stored = context_.state_cache.drain();
  if (!stored) return 0;
  std::vector<std::string> rest;
  int kept = 0;
  for (const std::string& name : stored->value.machines) {
    auto known = machines_.find(name);
    bool there = known != machines_.end() && !known->second.idle_since &&
                 known->second.status == MachineStatus::kRunning;
    if (there && kept < count) {
      ++kept;
    } else {
      rest.push_back(name);
    }
  }
  if (kept == 0) return 0;
  decision_.reason = ScalingReason::kKeep;
  StoreDrain(std::move(rest));
  return kept;
}

void Autoscaler::StoreDrain(std::vector<std::string> machines) {
  const auto& stored = context_.state_cache.drain();
  // Machines that are gone need no mention any more.
  std::erase_if(machines, [&](const std::string& name) {
    return !machines_.contains(name);
  });
  // What does not fit into one value goes next time.
  KeepWithin(machines, context_.state_limits.ValueBytes());
  Transaction txn;
  txn.conditions.push_back({keys::kDrain, stored ? stored->mod_revision : 0});
  txn.writes.push_back({keys::kDrain, DrainRecord{std::move(machines)}, 0});
  state_writer_.Write(std::move(txn), [](const StateReply&) {});
}

// Rentals are stored first and sent then; what a predecessor stored is sent
// again under the same name, which rents nothing twice.
void Autoscaler::ReconcileInstanceRequests() {
  SteadyTime now = context_.now();
  for (const auto& [name, instance_request] :
       context_.state_cache.instance_requests()) {
    if (instance_request.value.machines.empty()) {
      auto next = next_send_.find(name);
      if (sending_.contains(name)) continue;
      if (next != next_send_.end() && now < next->second) continue;
      if (!context_.cloud.Take(now, 1)) return;
      SendInstanceRequest(name, instance_request.value);
      continue;
    }
    bool all_listed = true;
    for (const std::string& machine : instance_request.value.machines) {
      auto known = machines_.find(machine);
      if (known == machines_.end()) {
        // A successor learns of machines that are not listed yet from here.
        Duration age = context_.out.now().wall - instance_request.value.asked;
        if (age < 2 * context_.deployment.list_lag + Millis(10000)) {
          Instance& fresh = machines_[machine];
          fresh.offer = {instance_request.value.type,
                         instance_request.value.zone,
                         instance_request.value.spot};
          fresh.created = now - std::max(age, Duration(0));
          all_listed = false;
        }
      } else if (known->second.listed == SteadyTime{}) {
        all_listed = false;
      }
    }
    if (all_listed && !state_writer_.writing() &&
        deleting_.insert(name).second) {
      Transaction txn;
      txn.conditions.push_back(
          {keys::InstanceRequest(name), instance_request.mod_revision});
      txn.writes.push_back({keys::InstanceRequest(name), {}, 0});
      state_writer_.Write(std::move(txn),
                          [this, request_name = name](const StateReply&) {
                            deleting_.erase(request_name);
                          });
    }
  }
}

void Autoscaler::SendInstanceRequest(const std::string& name,
                                     const InstanceRequestRecord& record) {
  sending_.insert(name);
  context_.out.CallCloud(
      CreateInstances{name, record.type, record.zone, record.spot,
                      record.count},
      context_.tuning.cloud_timeout,
      [this, name, record,
       alive = std::weak_ptr<int>(alive_)](const CloudReply& reply) {
        if (alive.expired()) return;
        SteadyTime now = context_.now();
        sending_.erase(name);
        next_send_[name] = now + Millis(1500);
        auto stored = context_.state_cache.instance_requests().find(name);
        if (stored == context_.state_cache.instance_requests().end()) return;
        Offer offer{record.type, record.zone, record.spot};
        bool over = reply.no_capacity || reply.status == 400 ||
                    (reply.status == 200 && reply.created.empty());
        context_.out.Log(
            LogLevel::kInfo,
            "event=instance_request name={} status={} no_capacity={} got={}",
            name, reply.status, reply.no_capacity, reply.created.size());
        if (reply.status == 429) context_.cloud.Drain(now);
        if (over || reply.created.size() < record.count) {
          if (reply.status == 200 || over) {
            refused_until_[offer] = now + kRefusedFor;
          }
        }
        if (!over && reply.status != 200) return;  // sent again later
        Transaction txn;
        txn.conditions.push_back(
            {keys::InstanceRequest(name), stored->second.mod_revision});
        Write write{keys::InstanceRequest(name), {}, 0};
        if (!over) {
          InstanceRequestRecord answered = record;
          answered.machines = reply.created;
          write.value = std::move(answered);
          for (const std::string& machine : reply.created) {
            Instance& known = machines_[machine];
            known.offer = offer;
            if (known.listed == SteadyTime{}) known.created = now;
          }
        }
        txn.writes.push_back(std::move(write));
        state_writer_.Write(std::move(txn), [](const StateReply&) {});
      });
}

}  // namespace pitchfall

@0xc4a1f6d2b8e35790;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pitchfall::wire::schema");

# What a controller sends to all others twice a second, and at once when it has
# learned of a cancellation. Its counterpart is PeerHeartbeat in
# core/model/messages.h. Times and durations are in microseconds.
struct PeerHeartbeat {
  label @0 :Text;
  incarnation @1 :Text;
  sentMicros @2 :Int64;  # time of day
  stateAgeMicros @3 :Int64;  # since the sender last read the state
  # By partition: workers that turned to the sender because they could not reach
  # the partition's owner.
  misroutedWorkers @4 :List(UInt32);
  free @5 :List(FreeCapacity);  # of the partitions that the sender owns
  # The sender's recent use of the shared rate limits, per second.
  requests @6 :Float64;
  writes @7 :Float64;
  uptimeMicros @8 :Int64;  # of the sender's process
  revision @9 :UInt64;  # the sender knows the state up to here
  senderTimeMicros @10 :Int64;  # the sender's steady clock; only it reads this
  echoes @11 :List(Echo);
  # Ids of the jobs cancelled since the revisions of the echoed heartbeats, and of
  # all others that the sender knows to be cancelled beyond its own revision.
  cancelled @12 :List(Text);
  tokens @13 :List(Token);
}

# The newest senderTimeMicros that the sender of this message has received from
# an incarnation of another controller.
struct Echo {
  label @0 :Text;
  incarnation @1 :Text;
  senderTimeMicros @2 :Int64;
}

# The fencing token of a partition that the sender owns.
struct Token {
  partition @0 :UInt32;
  token @1 :UInt64;
}

# Free processors of a partition in whole slots of 1, 2, 4 ... processors, one
# item per slot size, in millionths of a processor.
struct FreeCapacity {
  partition @0 :UInt32;
  any @1 :List(Int64);  # on all machines
  ordinary @2 :List(Int64);  # on machines that are not spot machines
}

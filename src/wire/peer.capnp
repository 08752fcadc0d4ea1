@0xc4a1f6d2b8e35790;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pitchfall::wire::schema");

# What controllers tell each other, twice a second, and at once when one of them
# has stored a cancellation.
struct PeerHeartbeat {
  label @0 :Text;
  incarnation @1 :Text;
  sentMicros @2 :Int64;
  stateAgeMicros @3 :Int64;
  misroutedWorkers @4 :List(UInt32);
  free @5 :List(FreeCapacity);
  requests @6 :Float64;
  writes @7 :Float64;
  uptimeMicros @8 :Int64;
  revision @9 :UInt64;
  senderTimeMicros @10 :Int64;
  echoes @11 :List(Echo);
  cancelled @12 :List(Text);
  tokens @13 :List(Token);
}

# The newest sender time that the sender has heard from a controller's incarnation.
struct Echo {
  label @0 :Text;
  incarnation @1 :Text;
  senderTimeMicros @2 :Int64;
}

# Of a partition that the sender owns.
struct Token {
  partition @0 :UInt32;
  token @1 :UInt64;
}

# Processors of a partition that are free for tasks of 1, 2, 4 ... processors.
struct FreeCapacity {
  partition @0 :UInt32;
  any @1 :List(Int64);
  ordinary @2 :List(Int64);
}

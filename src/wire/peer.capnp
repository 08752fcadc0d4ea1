@0xc4a1f6d2b8e35790;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pitchfall::wire::schema");

# What controllers tell each other, twice a second. Nothing in it is needed for
# the rules; it only makes decisions better informed.
struct Hello {
  label @0 :Text;
  life @1 :Text;
  sentMicros @2 :Int64;
  stateAgeMicros @3 :Int64;
  strays @4 :List(UInt32);
  freeCpus @5 :List(Int64);
  requests @6 :Float64;
  writes @7 :Float64;
}

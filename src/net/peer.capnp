@0xd3a5c0f1be7a4e21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("parsleyvane::wire");

struct VersionEvidence {
  model @0 :Text;
  version @1 :Text;
  served @2 :UInt64;
  errors @3 :UInt64;
  failedRatings @4 :UInt64;
}

struct Evidence {
  quarantined @0 :List(Text);
  versions @1 :List(VersionEvidence);
  leavingUpstreams @2 :List(Text);
  pendingBills @3 :UInt64;
}

struct Digest {
  instance @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  revision @4 :UInt64;
  changeId @5 :Text;
  confirmedAgeMs @6 :Int64 = -1;
  # Age of the store's latest confirmation of the revision; -1 if there was none.
  storeInReach @7 :Bool;
  leaving @8 :Bool;
  evidence @9 :Evidence;
  # Null in answers, and in calls if the receiver already has the sender's current evidence.
}

interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  fetchConfiguration @1 (revision :UInt64) -> (json :Text, rowVersion :UInt64);
  # Returns the document in force if it has at least this revision, otherwise fails. rowVersion is the version of the
  # store's row, 0 if unknown.
  holdBills @2 (json :Text) -> ();
  makeRoom @3 (upstream :Text, account :Text, count :UInt32) -> (made :UInt32);
}

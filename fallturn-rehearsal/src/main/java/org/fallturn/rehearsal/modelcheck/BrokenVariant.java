package org.fallturn.rehearsal.modelcheck;

import java.util.Set;

/**
 * A deliberate fault in the protocol, applied at the border between the simulation and the core's
 * unchanged classes. The model checker must catch each one; that shows that its checks bite.
 */
public enum BrokenVariant {
  /** A new leader orders engines without raising its fence first. */
  FENCE_NOT_RAISED(
      LeadershipScenario.NAME,
      Invariant.STALE_ORDER_HAS_NO_EFFECT,
      Invariant.NO_CONFLICTING_ORDERS),
  /** A holder sends orders without looking at its clock. */
  LEASE_NOT_CHECKED_BEFORE_SEND(LeadershipScenario.NAME, Invariant.ORDER_NEEDS_LEASE),
  /** A challenger does not wait until the old lease has run out. */
  TAKEOVER_WITHOUT_WAITING(LeadershipScenario.NAME, Invariant.ONE_LEADER),
  /** A challenger does not ask the witnesses. */
  TAKEOVER_WITHOUT_CONSENT(LeadershipScenario.NAME, Invariant.ONE_LEADER),
  /** A restarted witness has forgotten its promises but goes by the same name. */
  WITNESS_FORGETS_PROMISES(
      LeadershipScenario.NAME, Invariant.ONE_LEADER, Invariant.ORDER_NEEDS_LEASE),
  /** A witness extends a lease although it has consented to the takeover of the same version. */
  PROMISE_DESPITE_CONSENT(
      LeadershipScenario.NAME, Invariant.ONE_LEADER, Invariant.ORDER_NEEDS_LEASE),
  /** A holder counts a write as done although no answer came. */
  LOST_ANSWER_GUESSED_AS_DONE(
      LeadershipScenario.NAME,
      Invariant.ONE_LEADER,
      Invariant.ORDER_NEEDS_LEASE,
      Invariant.EPOCH_UNIQUE),
  /** A holder counts a write as failed although no answer came. */
  LOST_ANSWER_GUESSED_AS_FAILED(
      LeadershipScenario.NAME, Invariant.ONE_LEADER, Invariant.ORDER_NEEDS_LEASE),
  /** An engine takes orders that were meant for its earlier incarnation. */
  ENGINE_INCARNATION_IGNORED(
      LeadershipScenario.NAME,
      Invariant.STALE_ORDER_HAS_NO_EFFECT,
      Invariant.NO_CONFLICTING_ORDERS),
  /** A leader goes on after a lost answer as if the order had been carried out. */
  LOST_ORDER_NOT_SETTLED(LeadershipScenario.NAME, Invariant.NO_CONFLICTING_ORDERS),
  /** A node takes over whatever image it is sent. */
  LOWER_VERSION_APPLIED(ConfigurationScenario.NAME, Invariant.CONFIGURATION_NEVER_REVERTS),
  /** An operator's change is written without comparing the head's version. */
  COMMIT_WITHOUT_COMPARE(ConfigurationScenario.NAME, Invariant.CONFIGURATION_SEQUENCE),
  /** A change whose answer was lost is reported as refused. */
  LOST_COMMIT_GUESSED_AS_FAILED(ConfigurationScenario.NAME, Invariant.CONFIGURATION_SEQUENCE),
  /** A request runs without a claim when the table cannot be asked. */
  CLAIM_SKIPPED(ClaimScenario.NAME, Invariant.AT_MOST_ONCE),
  /** A claim whose answer was lost counts as granted. */
  LOST_CLAIM_GUESSED_AS_GRANTED(ClaimScenario.NAME, Invariant.AT_MOST_ONCE),
  /** Work that must not be repeated is sent again although a byte may have reached a back end. */
  RETRY_AFTER_FIRST_BYTE(ClaimScenario.NAME, Invariant.AT_MOST_ONCE),
  /** A request that was sent and got no answer is reported as not run. */
  NOT_RUN_SAID_AFTER_SEND(ClaimScenario.NAME, Invariant.NOT_RUN_IS_TRUE, Invariant.AT_MOST_ONCE),
  /** A chunk goes to the caller without a look at its request id and offset. */
  CHUNK_NOT_CHECKED(RequestScenario.NAME, Invariant.WHOLE_OWN_ANSWER),
  /** A stream that broke off counts as the end of the answer. */
  BROKEN_STREAM_TAKEN_AS_WHOLE(RequestScenario.NAME, Invariant.WHOLE_OWN_ANSWER),
  /** A model request that must not be repeated is resumed on another engine. */
  REPEATED_AFTER_BROKEN_STREAM(RequestScenario.NAME, Invariant.AT_MOST_ONCE),
  /** An engine that fell silent counts as one that never saw the request. */
  STALL_REPORTED_AS_NOT_SENT(
      RequestScenario.NAME, Invariant.NOT_RUN_IS_TRUE, Invariant.AT_MOST_ONCE),
  /** A leader does not look at whether an engine is leaving. */
  LEAVING_ENGINE_IGNORED(PlacementScenario.NAME, Invariant.LEAVING_GETS_NO_WORK),
  /** A role change is ordered without waiting until the engine is idle. */
  CHANGE_WITHOUT_DRAIN(PlacementScenario.NAME, Invariant.PLANNED_CHANGE_CUTS_NOTHING);

  private final String scenario;
  private final Set<Invariant> expected;

  BrokenVariant(String scenario, Invariant... expected) {
    this.scenario = scenario;
    this.expected = Set.of(expected);
  }

  /** Name of the scenario that shows it. */
  public String scenario() {
    return scenario;
  }

  /** The invariants it may break; which one comes first depends on the seed. */
  public Set<Invariant> expected() {
    return expected;
  }
}

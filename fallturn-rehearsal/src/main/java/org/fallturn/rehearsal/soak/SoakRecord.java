package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.OpenWork;
import org.fallturn.rehearsal.emulator.StreamEvents;

/**
 * All that callers and engines saw in one run, for the checks. Times are nanoseconds of one steady
 * clock. Immutable.
 *
 * @param calls what callers asked and were answered
 * @param arrivals what reached engines, in order by engine
 * @param runs how often each request was run, by its id
 * @param runNanos when the runs of each request began, by its id
 * @param drains when engines were listed as leaving
 * @param rests when engines turned requests away and asked for rest
 * @param limits when engines named how many requests a second they take
 * @param troubles when gateways were killed, stopped, paused or cut off
 * @param poisons contents that crash engines
 * @param control what operator and gateways did to control the fleet, and what came of it
 * @param calmFromNanos when the last fault had ended
 */
record SoakRecord(
    List<Call> calls,
    List<Arrival> arrivals,
    Map<String, Integer> runs,
    Map<String, List<Long>> runNanos,
    List<Drain> drains,
    List<Rest> rests,
    List<Limit> limits,
    List<Trouble> troubles,
    List<Poison> poisons,
    Control control,
    long calmFromNanos) {

  /** It is not known when runs began. */
  SoakRecord(
      List<Call> calls,
      List<Arrival> arrivals,
      Map<String, Integer> runs,
      List<Drain> drains,
      List<Rest> rests,
      List<Limit> limits,
      List<Trouble> troubles,
      List<Poison> poisons,
      Control control,
      long calmFromNanos) {
    this(
        calls,
        arrivals,
        runs,
        Map.of(),
        drains,
        rests,
        limits,
        troubles,
        poisons,
        control,
        calmFromNanos);
  }

  /** What a request is, as far as the checks care. */
  enum Kind {
    STREAM(false, true),
    RESUMABLE_STREAM(true, true),
    IDEMPOTENT(true, false),
    ONCE(false, false);

    private final boolean repeatable;
    private final boolean model;

    Kind(boolean repeatable, boolean model) {
      this.repeatable = repeatable;
      this.model = model;
    }

    boolean repeatable() {
      return repeatable;
    }

    /** Whether a model engine serves it; an application otherwise. */
    boolean model() {
      return model;
    }
  }

  /**
   * One try of a caller's request; those of the same id follow each other.
   *
   * @param gateway index of the gateway that was asked
   * @param answeredNanos when its answer had come
   * @param leaving the engine that answered, where the answer says that it leaves
   * @param status HTTP status; 0 when no whole head came
   * @param body the body as far as it came
   * @param whole whether the answer looked whole
   */
  record Call(
      String requestId,
      Kind kind,
      int gateway,
      long sentNanos,
      long answeredNanos,
      Optional<String> leaving,
      int status,
      String body,
      boolean whole) {

    private static final String WHOLE_STREAM =
        StreamEvents.withoutVersions(EmulatedEngine.wholeStream());

    /** A try that was answered just now. */
    static Call of(EmulatedClient.Answer answer, Kind kind, int gateway, long sentNanos) {
      return new Call(
          answer.requestId(),
          kind,
          gateway,
          sentNanos,
          System.nanoTime(),
          answer.leavingEngine(),
          answer.status(),
          answer.body(),
          answer.whole());
    }

    /** Whether the body is the whole answer of an engine. */
    boolean hasWholeBody() {
      return kind.model()
          ? StreamEvents.withoutVersions(body).equals(WHOLE_STREAM)
          : body.startsWith("answer of a-");
    }
  }

  /** A request that reached an engine. */
  record Arrival(String engineId, String requestId, long nanos, boolean prefill) {}

  /** A content that crashes engines, sent once more to a gateway. */
  record PoisonSend(String requestId, String body, int gateway) {}

  /**
   * A content, or a part of prompts, that crashes engines.
   *
   * @param body the content's body, or the id of the part
   * @param crashesTolerated how many engines it may crash before all gateways have to know
   * @param crashNanos when engines crashed under it
   * @param sends what reached engines while its gateway was in touch with the others and the store
   */
  record Poison(String body, int crashesTolerated, List<Long> crashNanos, List<Arrival> sends) {}

  /** An engine turned everything away from one time to another, and asked for rest each time. */
  record Rest(String engineId, long fromNanos, long toNanos) {}

  /** An engine named in its answers from one time to another how many requests it takes. */
  record Limit(String engineId, double perSecond, long fromNanos, long toNanos) {}

  /**
   * What operator and gateways did to control the fleet, and what came of it.
   *
   * @param probes requests on routes that the operator added
   * @param orders the orders that each engine took, by its id
   * @param ends when gateways were ended
   * @param cutOffs what was asked while gateways were cut off from all engines
   * @param crowds what was asked while one gateway got most connections
   * @param beginWithPoison requests without a part that crashes engines which began as those with
   *     it did, by the time of the check
   * @param streams streams that callers began and continued
   * @param usage the usage reports that the platform took, in order
   * @param departures the callers that left, and what went on for them
   */
  record Control(
      List<Probe> probes,
      Map<String, List<StageOrder>> orders,
      GatewayEnds ends,
      List<CutOff> cutOffs,
      List<CutOff> crowds,
      List<Call> beginWithPoison,
      Streams streams,
      List<UsageReport> usage,
      Departures departures) {

    /** Nobody left. */
    Control(
        List<Probe> probes,
        Map<String, List<StageOrder>> orders,
        GatewayEnds ends,
        List<CutOff> cutOffs,
        List<CutOff> crowds,
        List<Call> beginWithPoison,
        Streams streams,
        List<UsageReport> usage) {
      this(
          probes,
          orders,
          ends,
          cutOffs,
          crowds,
          beginWithPoison,
          streams,
          usage,
          Departures.none());
    }

    /** Usage was reported once after the faults. */
    Control(
        List<Probe> probes,
        Map<String, List<StageOrder>> orders,
        GatewayEnds ends,
        List<CutOff> cutOffs,
        List<CutOff> crowds,
        List<Call> beginWithPoison,
        Streams streams) {
      this(
          probes,
          orders,
          ends,
          cutOffs,
          crowds,
          beginWithPoison,
          streams,
          List.of(new UsageReport(1, "gateway-0", 1, Map.of(), Long.MAX_VALUE)));
    }

    /** Nobody was crowded, and no part crashed engines. */
    Control(
        List<Probe> probes,
        Map<String, List<StageOrder>> orders,
        GatewayEnds ends,
        List<CutOff> cutOffs,
        Streams streams) {
      this(probes, orders, ends, cutOffs, List.of(), List.of(), streams);
    }

    /** Nothing was done. */
    static Control none() {
      GatewayEnds noEnds = new GatewayEnds(List.of(), List.of());
      return new Control(List.of(), Map.of(), noEnds, List.of(), Streams.none());
    }
  }

  /**
   * Streams of gateways that run this build.
   *
   * @param answers all answers of model engines
   * @param begun requests for new ones, of gateways that were in touch
   * @param resumptions requests that continued one
   */
  record Streams(List<Call> answers, List<Call> begun, List<Resumption> resumptions) {

    static Streams none() {
      return new Streams(List.of(), List.of(), List.of());
    }

    /** The resumptions that were promised to succeed. */
    List<Resumption> promised() {
      return resumptions.stream().filter(Resumption::promised).toList();
    }
  }

  /**
   * Callers that closed their connections before they had an answer.
   *
   * @param callers those that left
   * @param openWork work of engines that ends only when it is given up
   * @param overlaps requests that went on at another engine while one still worked on them
   */
  record Departures(List<Departure> callers, List<OpenWork> openWork, List<Overlap> overlaps) {

    /** No request was at two engines. */
    Departures(List<Departure> callers, List<OpenWork> openWork) {
      this(callers, openWork, List.of());
    }

    static Departures none() {
      return new Departures(List.of(), List.of());
    }
  }

  /** A request that reached an engine while the one before still worked on it. */
  record Overlap(String requestId, String before, String after) {}

  /**
   * A caller that left.
   *
   * @param gateway index of the gateway that was asked
   * @param inTouch whether that gateway was in touch when the caller left
   */
  record Departure(String requestId, Kind kind, int gateway, long leftNanos, boolean inTouch) {

    Departure inTouchOnlyIf(boolean was) {
      return new Departure(requestId, kind, gateway, leftNanos, was);
    }
  }

  /**
   * A stream that a caller continued.
   *
   * @param firstAttempt id of the request that brought its first event
   * @param gateway index of the gateway that was asked
   * @param began the software version that began it
   * @param status HTTP status of the answer; 0 when no whole head came
   * @param body the events that came
   * @param whole whether the answer looked whole
   * @param promised whether its gateway was in touch, and two engines of its version served, from
   *     its request to its answer
   */
  record Resumption(
      String firstAttempt,
      int gateway,
      long sentNanos,
      String began,
      int status,
      String body,
      boolean whole,
      boolean promised) {

    boolean succeeded() {
      return status == 200 && whole;
    }

    Resumption promisedOnlyIf(boolean inTouch) {
      return new Resumption(
          firstAttempt, gateway, sentNanos, began, status, body, whole, promised && inTouch);
    }
  }

  /**
   * What was asked, later than the bound on knowing, while a gateway was cut off from all engines,
   * or got most connections.
   *
   * @param there what it was asked while it was in touch, as at least one other gateway was
   * @param elsewhere what those others were asked meanwhile
   */
  record CutOff(int gateway, List<Call> there, List<Call> elsewhere) {}

  /**
   * When gateways were ended; each time lasts until the gateway has started again.
   *
   * @param killed from when it was killed, also while it stopped as planned
   * @param absent from when it was killed or asked to stop
   * @param own ends of processes that were neither killed nor asked to stop, and duties that failed
   */
  record GatewayEnds(List<Trouble> killed, List<Trouble> absent, List<String> own) {

    /** None ended by itself. */
    GatewayEnds(List<Trouble> killed, List<Trouble> absent) {
      this(killed, absent, List.of());
    }
  }

  /** A route that the operator added, and removed again; never, if the time is the greatest. */
  record AddedRoute(String name, long addedNanos, long removedNanos) {

    AddedRoute removedAt(long nanos) {
      return new AddedRoute(name, addedNanos, nanos);
    }
  }

  /** A request on an added route to a gateway that was in touch, and the status of its answer. */
  record Probe(AddedRoute route, int gateway, long sentNanos, int status) {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    /** Whether the answer is one that a configuration allows which is in force no more. */
    boolean isOfAnOlderConfiguration(Duration bound) {
      boolean removed = route.removedNanos() != Long.MAX_VALUE;
      boolean lacksIt =
          status == NOT_FOUND
              && sentNanos > route.addedNanos() + bound.toNanos()
              && (!removed || sentNanos < route.removedNanos());
      boolean stillHasIt =
          status == OK && removed && sentNanos > route.removedNanos() + bound.toNanos();
      return lacksIt || stillHasIt;
    }
  }

  /**
   * A usage report that the platform took from a gateway of this build.
   *
   * @param counts requests by tenant
   */
  record UsageReport(
      long window, String holder, long fencingToken, Map<String, Long> counts, long nanos) {}

  /** An order that an engine took. */
  record StageOrder(String holder, long fencingToken) {}

  /** A gateway was in trouble from one time to another. */
  record Trouble(int gateway, long fromNanos, long toNanos) {}

  /** Whether a gateway was in trouble at any moment between two times. */
  boolean troubled(int gateway, long fromNanos, long toNanos) {
    return meets(troubles, gateway, fromNanos, toNanos);
  }

  /** Whether any of these troubles of a gateway holds at any moment between two times. */
  static boolean meets(List<Trouble> troubles, int gateway, long fromNanos, long toNanos) {
    return troubles.stream()
        .filter(trouble -> trouble.gateway() == gateway)
        .anyMatch(trouble -> trouble.fromNanos() < toNanos && trouble.toNanos() > fromNanos);
  }

  /** An engine was leaving from one time to another. */
  record Drain(String engineId, long fromNanos, long toNanos) {}
}

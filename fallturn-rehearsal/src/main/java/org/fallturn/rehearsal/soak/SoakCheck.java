package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.fallturn.rehearsal.emulator.OpenWork;
import org.fallturn.rehearsal.emulator.StreamEvents;

/** A promise, checked on what callers and engines saw. Pure. */
enum SoakCheck {
  /** An answer that looks whole is the whole answer of an engine. */
  WHOLE_ANSWERS {
    @Override
    List<String> violations(SoakRecord record) {
      return record.calls().stream()
          .filter(call -> call.whole() && call.status() == HTTP_OK && !call.hasWholeBody())
          .map(call -> call.requestId() + " got as whole: " + call.body())
          .toList();
    }
  },
  /**
   * A connection is not closed without an answer, unless its gateway is killed meanwhile, or stops
   * and had not passed the request on.
   */
  ANSWERED {
    @Override
    List<String> violations(SoakRecord record) {
      SoakRecord.GatewayEnds ends = record.control().ends();
      return record.calls().stream()
          .filter(call -> call.status() == 0)
          .filter(
              call -> {
                boolean ran = runs(record, call) > 0;
                List<SoakRecord.Trouble> excuses = ran ? ends.killed() : ends.absent();
                return !SoakRecord.meets(
                    excuses, call.gateway(), call.sentNanos(), call.answeredNanos());
              })
          .map(call -> call.requestId() + " got no answer of gateway " + call.gateway())
          .toList();
    }
  },
  /** A gateway ends only when it is killed or asked to stop, and none of its duties fails. */
  GATEWAYS_RUN {
    @Override
    List<String> violations(SoakRecord record) {
      return record.control().ends().own();
    }
  },
  /** What may not be repeated runs at most once. */
  AT_MOST_ONCE {
    @Override
    List<String> violations(SoakRecord record) {
      Stream<String> asked =
          record.calls().stream()
              .filter(call -> !call.kind().repeatable())
              .map(SoakRecord.Call::requestId);
      Stream<String> left =
          record.control().departures().callers().stream()
              .filter(caller -> !caller.kind().repeatable())
              .map(SoakRecord.Departure::requestId);
      return Stream.concat(asked, left)
          .distinct()
          .filter(id -> record.runs().getOrDefault(id, 0) > 1)
          .map(id -> id + " ran " + record.runs().get(id) + " times")
          .toList();
    }
  },
  /** What may be repeated goes on at another engine once the one before has left it. */
  ONE_ENGINE_AT_A_TIME {
    @Override
    List<String> violations(SoakRecord record) {
      return record.control().departures().overlaps().stream()
          .map(one -> one.requestId() + " reached " + one.after() + " and was at " + one.before())
          .toList();
    }
  },
  /** No more than a few requests reach engines later than the bound after their callers left. */
  GONE_IS_NOT_SENT {
    @Override
    List<String> violations(SoakRecord record) {
      Map<String, SoakRecord.Departure> left = leftInTouch(record);
      List<String> found =
          record.arrivals().stream()
              .filter(arrival -> left.containsKey(arrival.requestId()))
              .filter(arrival -> isLate(record, left.get(arrival.requestId()), arrival.nanos()))
              .map(arrival -> arrival.requestId() + " reached " + arrival.engineId())
              .toList();
      return found.size() > SENDS_TOLERATED ? found : List.of();
    }
  },
  /** Engines stop the work that may be repeated soon after its callers have left. */
  GONE_ENDS_AT_ENGINES {
    @Override
    List<String> violations(SoakRecord record) {
      Map<String, SoakRecord.Departure> left = leftInTouch(record);
      List<OpenWork> lasting =
          record.control().departures().openWork().stream()
              .filter(work -> left.containsKey(work.requestId()))
              .filter(work -> left.get(work.requestId()).kind().repeatable())
              .filter(work -> work.beginNanos() < goneFromNanos(left.get(work.requestId())))
              .filter(work -> work.endNanos() > left.get(work.requestId()).leftNanos())
              .toList();
      List<String> found =
          lasting.stream()
              .filter(work -> isLate(record, left.get(work.requestId()), work.endNanos()))
              .map(work -> work.requestId() + " went on")
              .toList();
      boolean few = lasting.size() < MIN_LASTING;
      return few || found.size() <= GONE_PART * lasting.size() ? List.of() : found;
    }
  },
  /** A request that is called not run was not run. */
  NOT_RUN_IS_TRUE {
    @Override
    List<String> violations(SoakRecord record) {
      return SoakTries.of(record.calls()).refusedAndRan(record).stream()
          .map(call -> call.requestId() + " was called not run (" + call.status() + ") and ran")
          .toList();
    }
  },
  /** An engine that leaves gets nothing new once the bound has passed. */
  LEAVING_GETS_NOTHING {
    @Override
    List<String> violations(SoakRecord record) {
      List<String> found = new ArrayList<>();
      for (SoakRecord.Drain drain : record.drains()) {
        long from = drain.fromNanos() + DRAIN_BOUND.toNanos();
        record.arrivals().stream()
            .filter(arrival -> arrival.engineId().equals(drain.engineId()))
            .filter(arrival -> arrival.nanos() > from && arrival.nanos() < drain.toNanos())
            .forEach(arrival -> found.add(arrival.requestId() + " reached " + drain.engineId()));
      }
      return found;
    }
  },
  /** A gateway that passed on that an engine leaves sends it nothing new after the bound. */
  LEAVING_BY_ANSWER_GETS_NOTHING {
    @Override
    List<String> violations(SoakRecord record) {
      SoakTries tries = SoakTries.of(record.calls());
      List<String> found = new ArrayList<>();
      for (SoakRecord.Call told : record.calls()) {
        String engine = told.leaving().orElse("");
        long from = told.answeredNanos() + SoakFleet.DRAIN.toNanos();
        record.arrivals().stream()
            .filter(arrival -> arrival.engineId().equals(engine) && arrival.nanos() > from)
            .flatMap(arrival -> tries.of(arrival).stream())
            .filter(late -> late.gateway() == told.gateway())
            .filter(late -> late.sentNanos() > from)
            .filter(
                late ->
                    !record.troubled(late.gateway(), told.answeredNanos(), late.answeredNanos()))
            .forEach(late -> found.add(late.requestId() + " reached " + engine));
      }
      return found;
    }
  },
  /** An engine that asked a gateway for rest gets no more than two requests from it meanwhile. */
  RESTING_GETS_NOTHING {
    @Override
    List<String> violations(SoakRecord record) {
      SoakTries tries = SoakTries.of(record.calls());
      List<String> found = new ArrayList<>();
      for (SoakRecord.Rest rest : record.rests()) {
        List<SoakRecord.Arrival> there =
            record.arrivals().stream()
                .filter(arrival -> arrival.engineId().equals(rest.engineId()))
                .filter(arrival -> tries.of(arrival).isPresent())
                .toList();
        there.stream()
            .filter(one -> one.nanos() > rest.fromNanos() && one.nanos() < rest.toNanos())
            .filter(one -> within(record, tries, there, one) > REQUESTS_IN_REST_TOLERATED)
            .forEach(one -> found.add(one.requestId() + " was turned away by " + one.engineId()));
      }
      return found;
    }
  },
  /** An engine that names a limit gets no more than that from all gateways together. */
  LIMIT_KEPT {
    @Override
    List<String> violations(SoakRecord record) {
      SoakTries tries = SoakTries.of(record.calls());
      List<String> found = new ArrayList<>();
      for (SoakRecord.Limit limit : record.limits()) {
        List<Long> counted = counted(record, limit, tries);
        double allowed =
            LIMIT_TIMES_TOLERATED * limit.perSecond() * LIMIT_WINDOW.toSeconds()
                + REQUESTS_TOLERATED;
        long worst =
            counted.stream()
                .mapToLong(begin -> within(counted, begin, begin + LIMIT_WINDOW.toNanos()))
                .max()
                .orElse(0);
        if (worst > allowed) {
          found.add(limit.engineId() + " got " + worst + " in a window, allowed " + allowed);
        }
      }
      return found;
    }
  },
  /** In every window, what is sent again stays within the bound of the fleet. */
  RETRY_BUDGET {
    @Override
    List<String> violations(SoakRecord record) {
      SoakTries tries = SoakTries.of(record.calls());
      List<String> found = new ArrayList<>();
      for (boolean model : new boolean[] {true, false}) {
        List<Long> repeats = repeats(record, tries, model);
        for (long end : repeats) {
          long begin = end - SoakFleet.RETRY_WINDOW.toNanos();
          long repeated = repeats.stream().filter(at -> at > begin && at <= end).count();
          long asked =
              record.calls().stream()
                  .filter(call -> call.kind().model() == model)
                  .filter(call -> call.sentNanos() > begin && call.sentNanos() <= end)
                  .count();
          double allowed = SoakFleet.RETRY_RATIO * asked + SoakFleet.RETRY_SLACK;
          if (repeated > allowed) {
            found.add(repeated + " arrivals past the first in a window, allowed " + allowed);
          }
        }
      }
      return found;
    }
  },
  /**
   * A content under which three engines have crashed, or a part of prompts under which five have,
   * is held back once all have to know.
   */
  POISON_HELD_BACK {
    @Override
    List<String> violations(SoakRecord record) {
      List<String> found = new ArrayList<>();
      for (SoakRecord.Poison poison : record.poisons()) {
        int tolerated = poison.crashesTolerated();
        if (poison.crashNanos().size() < tolerated) {
          continue;
        }
        long bound = poison.crashNanos().get(tolerated - 1) + SoakFleet.CONTACT.toNanos();
        List<SoakRecord.Arrival> late =
            poison.sends().stream().filter(send -> send.nanos() > bound).toList();
        if (late.size() > SENDS_TOLERATED) {
          found.add(poison.body() + ": " + late.size() + " late sends, " + late.get(0).requestId());
        }
      }
      return found;
    }
  },
  /** A route is served once the bound has passed after it was added, and not after its removal. */
  CONFIGURATION_IN_FORCE {
    @Override
    List<String> violations(SoakRecord record) {
      return record.control().probes().stream()
          .filter(probe -> probe.isOfAnOlderConfiguration(DRAIN_BOUND))
          .map(
              probe ->
                  probe.route().name()
                      + " was answered "
                      + probe.status()
                      + " by gateway "
                      + probe.gateway())
          .toList();
    }
  },
  /** The fencing tokens of the orders that an engine takes rise from one holder to the next. */
  ORDERS_ARE_FENCED {
    @Override
    List<String> violations(SoakRecord record) {
      List<String> found = new ArrayList<>();
      Map<Long, String> holders = new HashMap<>();
      record
          .control()
          .orders()
          .forEach(
              (engine, orders) -> {
                long highest = 0;
                for (SoakRecord.StageOrder order : orders) {
                  String holder = holders.putIfAbsent(order.fencingToken(), order.holder());
                  boolean shared = holder != null && !holder.equals(order.holder());
                  if (order.fencingToken() < highest || shared) {
                    found.add(engine + " took " + order);
                  }
                  highest = Math.max(highest, order.fencingToken());
                }
              });
      return found;
    }
  },
  /**
   * No window's usage is reported twice with different counts, and each fencing token is of one
   * holder.
   */
  ONE_USAGE_REPORT {
    @Override
    List<String> violations(SoakRecord record) {
      List<String> found = new ArrayList<>();
      Map<Long, SoakRecord.UsageReport> windows = new HashMap<>();
      Map<Long, String> holders = new HashMap<>();
      for (SoakRecord.UsageReport report : record.control().usage()) {
        SoakRecord.UsageReport before = windows.putIfAbsent(report.window(), report);
        if (before != null && !before.counts().equals(report.counts())) {
          found.add(before + ", then " + report);
        }
        String holder = holders.putIfAbsent(report.fencingToken(), report.holder());
        if (holder != null && !holder.equals(report.holder())) {
          found.add(report + " has a token of " + holder);
        }
      }
      return found;
    }
  },
  /** Once the faults are over, usage is reported. */
  USAGE_REPORTED {
    @Override
    List<String> violations(SoakRecord record) {
      return record.control().usage().stream()
              .anyMatch(report -> report.nanos() > record.calmFromNanos())
          ? List.of()
          : List.of("no usage was reported after the last fault");
    }
  },
  /** A stream has events of one software version, over all answers. */
  ONE_VERSION {
    @Override
    List<String> violations(SoakRecord record) {
      List<String> found = new ArrayList<>();
      for (SoakRecord.Call call : record.control().streams().answers()) {
        if (StreamEvents.versions(call.body()).size() > 1) {
          found.add(call.requestId() + " got " + call.body());
        }
      }
      for (SoakRecord.Resumption resumption : record.control().streams().resumptions()) {
        if (!Set.of(resumption.began()).containsAll(StreamEvents.versions(resumption.body()))) {
          found.add(
              resumption.firstAttempt()
                  + " began at "
                  + resumption.began()
                  + " and went on at gateway "
                  + resumption.gateway()
                  + " with "
                  + resumption.body());
        }
      }
      return found;
    }
  },
  /** Streams are resumed at least half as often as new ones are served. */
  STREAMS_RESUMED {
    @Override
    List<String> violations(SoakRecord record) {
      List<SoakRecord.Resumption> promised = record.control().streams().promised();
      List<SoakRecord.Call> begun = record.control().streams().begun();
      long succeeded = promised.stream().filter(SoakRecord.Resumption::succeeded).count();
      boolean less =
          succeeded * (double) begun.size() < RESUMED_PART * served(begun) * promised.size();
      return promised.size() >= MIN_RESUMPTIONS && less
          ? List.of(succeeded + " of " + promised.size() + " streams were resumed")
          : List.of();
    }
  },
  /** Requests that only begin as those with a part that crashes engines are not held back. */
  SOUND_PARTS_SERVED {
    @Override
    List<String> violations(SoakRecord record) {
      List<SoakRecord.Call> sound = record.control().beginWithPoison();
      long heldBack = sound.stream().filter(call -> call.body().startsWith(HELD_BACK)).count();
      return heldBack > HELD_BACK_PART * sound.size()
          ? List.of(heldBack + " of " + sound.size() + " requests without the part held back")
          : List.of();
    }
  },
  /** Callers of a gateway that is cut off from all engines are served nearly as others are. */
  SERVED_WHEN_CUT_OFF {
    @Override
    List<String> violations(SoakRecord record) {
      return servedFarLess(record.control().cutOffs(), CUT_OFF_PART);
    }
  },
  /** Callers of a gateway that gets most connections are served nearly as others are. */
  SERVED_WHEN_CROWDED {
    @Override
    List<String> violations(SoakRecord record) {
      return servedFarLess(record.control().crowds(), CROWDED_PART);
    }
  },
  /** Once the faults are over, callers are served. */
  RECOVERS {
    @Override
    List<String> violations(SoakRecord record) {
      long from = record.calmFromNanos() + RECOVERY.toNanos();
      SoakTries tries = SoakTries.of(record.calls());
      List<SoakRecord.Call> calm =
          record.calls().stream()
              .filter(tries::isFirst)
              .filter(call -> call.sentNanos() > from)
              .toList();
      long served = served(calm);
      return served < SERVED_WHEN_CALM * calm.size() || calm.isEmpty()
          ? List.of(served + " of " + calm.size() + " served after the last fault")
          : List.of();
    }
  };

  private static final int HTTP_OK = 200;

  /** How many engines a content may crash before all gateways have to know it. */
  static final int CRASHES_TOLERATED = 3;

  /** How many engines a part of prompts may crash before all gateways have to know it. */
  static final int PART_CRASHES_TOLERATED = 5;

  private static final int REQUESTS_IN_REST_TOLERATED = 2;

  /** What engines that name a limit are promised, by window. */
  private static final Duration LIMIT_WINDOW = Duration.ofSeconds(4);

  private static final double LIMIT_TIMES_TOLERATED = 1.5;
  private static final int REQUESTS_TOLERATED = 5;

  /** What was under way when an engine asked for rest may reach it for so long. */
  private static final Duration UNDER_WAY = Duration.ofMillis(500);

  private static final int SENDS_TOLERATED = 3;

  /** The drain bound of the settings, and half a second on the way. */
  private static final Duration DRAIN_BOUND = SoakFleet.DRAIN.plusMillis(500);

  /** A start of a process and a suspension of an engine are over by then. */
  private static final Duration RECOVERY = Duration.ofSeconds(6);

  private static final double SERVED_WHEN_CALM = 0.95;

  /** How often first tries are served at a gateway that is cut off, in relation to the others. */
  private static final double CUT_OFF_PART = 2.0 / 3;

  /** The same at a gateway that gets most connections. */
  private static final double CROWDED_PART = 3.0 / 4;

  /** What the answer of a request says that is held back for crashing engines. */
  private static final String HELD_BACK = "Not sent:";

  private static final double HELD_BACK_PART = 0.5;

  private static final int FAILED_TOLERATED = 10;
  private static final double FAILED_PART = 1.0 / 50;

  private static final int MIN_RESUMPTIONS = 12;

  /** From the close of a caller's connection until nothing more may go on for it. */
  private static final Duration GONE_BOUND = Duration.ofMillis(500);

  /** The part of the lasting work that may go on, and how much there must be to tell. */
  private static final double GONE_PART = 0.25;

  private static final int MIN_LASTING = 4;

  private static final double RESUMED_PART = 0.5;

  private static long served(List<SoakRecord.Call> calls) {
    return calls.stream().filter(call -> call.status() == HTTP_OK && call.whole()).count();
  }

  private static Map<String, SoakRecord.Departure> leftInTouch(SoakRecord record) {
    Map<String, SoakRecord.Departure> left = new HashMap<>();
    record.control().departures().callers().stream()
        .filter(SoakRecord.Departure::inTouch)
        .forEach(caller -> left.put(caller.requestId(), caller));
    return left;
  }

  private static long goneFromNanos(SoakRecord.Departure caller) {
    return caller.leftNanos() + GONE_BOUND.toNanos();
  }

  /**
   * Whether something went on too late for a caller. What a gateway does shortly after it stood
   * still does not count, and any may forward the request.
   */
  private static boolean isLate(SoakRecord record, SoakRecord.Departure caller, long nanos) {
    long lately = nanos - SoakFleet.CONTACT.toNanos();
    return nanos > goneFromNanos(caller)
        && record.troubles().stream()
            .filter(one -> one.gateway() == caller.gateway() || one.toNanos() > lately)
            .noneMatch(one -> one.fromNanos() < nanos && one.toNanos() > caller.leftNanos());
  }

  /** What broke the promise, one line each. */
  abstract List<String> violations(SoakRecord record);

  /** The gateways that served first tries less often than a part of what others did. */
  private static List<String> servedFarLess(List<SoakRecord.CutOff> comparisons, double part) {
    List<String> found = new ArrayList<>();
    for (SoakRecord.CutOff compared : comparisons) {
      long there = served(compared.there());
      long elsewhere = served(compared.elsewhere());
      int failed = (int) (compared.there().size() - there);
      boolean farLess =
          there * (double) compared.elsewhere().size() < part * elsewhere * compared.there().size();
      if (farLess && failed > FAILED_TOLERATED + FAILED_PART * compared.there().size()) {
        found.add(
            String.format(
                "gateway %d served %d of %d, others %d of %d",
                compared.gateway(),
                there,
                compared.there().size(),
                elsewhere,
                compared.elsewhere().size()));
      }
    }
    return found;
  }

  /** How many requests of its gateway reached the engine in the rest that one was answered with. */
  private static long within(
      SoakRecord record, SoakTries tries, List<SoakRecord.Arrival> there, SoakRecord.Arrival one) {
    int gateway = tries.gateway(one);
    long end = one.nanos() + SoakFleet.REST.toNanos();
    if (record.troubled(gateway, one.nanos(), end)) {
      return 0;
    }
    return there.stream()
        .filter(other -> tries.gateway(other) == gateway)
        .filter(other -> other.nanos() > one.nanos() + UNDER_WAY.toNanos() && other.nanos() < end)
        .count();
  }

  /** Arrivals that count: from the bound on knowing on, of gateways that had no trouble lately. */
  private static List<Long> counted(SoakRecord record, SoakRecord.Limit limit, SoakTries tries) {
    List<SoakRecord.Arrival> there =
        record.arrivals().stream()
            .filter(arrival -> arrival.engineId().equals(limit.engineId()))
            .filter(arrival -> tries.of(arrival).isPresent())
            .filter(arrival -> arrival.nanos() >= limit.fromNanos())
            .filter(arrival -> arrival.nanos() < limit.toNanos())
            .toList();
    if (there.isEmpty()) {
      return List.of();
    }
    long contact = SoakFleet.CONTACT.toNanos();
    long from = there.get(0).nanos() + contact;
    return there.stream()
        .filter(arrival -> arrival.nanos() >= from)
        .filter(
            arrival ->
                !record.troubled(
                    tries.gateway(arrival), arrival.nanos() - contact, arrival.nanos()))
        .map(SoakRecord.Arrival::nanos)
        .toList();
  }

  private static long within(List<Long> times, long from, long to) {
    return times.stream().filter(at -> at >= from && at < to).count();
  }

  private static int runs(SoakRecord record, SoakRecord.Call call) {
    return record.runs().getOrDefault(call.requestId(), 0);
  }

  /** When a try arrived that had arrived before; one prefill a try is no arrival. */
  private static List<Long> repeats(SoakRecord record, SoakTries tries, boolean model) {
    Set<SoakRecord.Call> prefilled = new HashSet<>();
    Set<SoakRecord.Call> arrived = new HashSet<>();
    List<Long> repeats = new ArrayList<>();
    record.arrivals().stream()
        .sorted((left, right) -> Long.compare(left.nanos(), right.nanos()))
        .filter(arrival -> tries.of(arrival).isPresent())
        .forEach(
            arrival -> {
              SoakRecord.Call one = tries.of(arrival).orElseThrow();
              boolean free = arrival.prefill() && prefilled.add(one);
              if (one.kind().model() == model && !free && !arrived.add(one)) {
                repeats.add(arrival.nanos());
              }
            });
    return repeats;
  }
}

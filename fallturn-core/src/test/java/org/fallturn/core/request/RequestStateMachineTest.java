package org.fallturn.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.junit.jupiter.api.Test;

/** Random histories of engines that crash, stall, refuse, cross, double and lose chunks. */
class RequestStateMachineTest {

  private static final RequestId ID = new RequestId("r-1");
  private static final int MAX_TOKENS = 12;
  private static final long DEADLINE_NANOS = 1_000_000_000L;

  private static RequestSpec spec(boolean repeatable) {
    return new RequestSpec(
        ID,
        new TenantName("alava"),
        1,
        new ServiceName("assistant"),
        new ModelName("m"),
        "",
        "alava",
        Urgency.NORMAL,
        "prompt",
        1,
        List.of(),
        MAX_TOKENS,
        repeatable,
        5);
  }

  /** One request against engines driven by a seed. */
  private static final class History {
    private final Random random;
    private final RequestStateMachine machine;
    private final List<String> delivered = new ArrayList<>();
    private final List<RequestAction> endings = new ArrayList<>();
    private final Set<EngineId> triedAndFailed = new HashSet<>();
    private final int answerLength;
    private boolean engineSaw;
    private int generatesThatMayHaveRun;
    private RequestAction.SendGenerate generate;
    private RequestAction.SendPrefill prefill;
    private int asking = -1;
    private boolean waiting;
    private int placements;
    private int sent;

    History(long seed, boolean repeatable) {
      random = new Random(seed);
      answerLength = 1 + random.nextInt(MAX_TOKENS);
      machine = new RequestStateMachine(spec(repeatable), DEADLINE_NANOS);
      apply(machine.start(0));
    }

    void run() {
      for (int step = 0; step < 200 && endings.isEmpty(); step++) {
        apply(machine.on(event(), step));
      }
      if (endings.isEmpty()) {
        apply(machine.on(new RequestEvent.DeadlinePassed(), DEADLINE_NANOS));
      }
      int before = delivered.size();
      apply(machine.on(chunk(0, 1, ID, Finish.STOP), DEADLINE_NANOS));
      assertThat(delivered).hasSize(before);
      assertThat(endings).hasSize(1);
    }

    private RequestEvent event() {
      if (random.nextInt(60) == 0) {
        return random.nextBoolean()
            ? new RequestEvent.CallerGone()
            : new RequestEvent.DeadlinePassed();
      }
      if (random.nextInt(8) == 0 && machine.attempt() > 0) {
        return late();
      }
      if (asking >= 0) {
        return placement();
      }
      if (waiting) {
        waiting = false;
        return new RequestEvent.RetryDue();
      }
      return prefill != null ? prefillEvent() : generateEvent();
    }

    private RequestEvent late() {
      int old = random.nextInt(machine.attempt());
      TokenChunk chunk = new TokenChunk(ID, delivered.size(), List.of("late"), Finish.STOP);
      return random.nextBoolean()
          ? new RequestEvent.ChunkReceived(old, chunk)
          : new RequestEvent.DecodeEnded(old);
    }

    private RequestEvent placement() {
      int attempt = asking;
      asking = -1;
      if (random.nextInt(10) == 0) {
        return new RequestEvent.PlacementAnswered(
            attempt, new PlacementAnswer.Refused(ErrorKind.NO_CAPACITY, "full", 500));
      }
      placements++;
      Optional<EngineTarget> prefiller =
          random.nextBoolean() ? Optional.of(engine("p" + placements)) : Optional.empty();
      return new RequestEvent.PlacementAnswered(
          attempt,
          new PlacementAnswer.Placed(
              new PoolId(new ZoneName("z"), new ModelName("m"), 0),
              new Epoch(1),
              prefiller,
              engine("d" + placements)));
    }

    private RequestEvent prefillEvent() {
      int attempt = prefill.attempt();
      prefill = null;
      if (random.nextInt(3) == 0) {
        AttemptFailure failure = failure();
        engineSaw |= failure.kind().mayHaveRun();
        return new RequestEvent.PrefillFailed(attempt, failure);
      }
      engineSaw = true;
      return new RequestEvent.PrefillAnswered(attempt, new PrefillAnswer(ID, "kv", 1, 0, 1));
    }

    private RequestEvent generateEvent() {
      int choice = random.nextInt(12);
      if (choice == 0) {
        AttemptFailure failure = failure();
        engineSaw |= failure.kind().mayHaveRun();
        return new RequestEvent.DecodeFailed(generate.attempt(), failure);
      }
      engineSaw = true;
      if (choice == 1) {
        return new RequestEvent.DecodeEnded(generate.attempt());
      }
      if (choice == 2) {
        return chunk(sent, 1, new RequestId("of-another"), Finish.NONE);
      }
      if (choice == 3) {
        return chunk(sent + 1, 1, ID, Finish.NONE);
      }
      if (choice == 4 && sent > 0) {
        int from = random.nextInt(sent);
        return chunk(from, sent - from, ID, Finish.NONE);
      }
      int count = 1 + random.nextInt(3);
      int offset = sent;
      sent = Math.min(answerLength, sent + count);
      Finish finish = sent < answerLength ? Finish.NONE : Finish.STOP;
      return chunk(offset, sent - offset, ID, finish);
    }

    private RequestEvent chunk(int offset, int count, RequestId id, Finish finish) {
      List<String> tokens = new ArrayList<>();
      for (int index = offset; index < offset + count; index++) {
        tokens.add("t" + index);
      }
      int attempt = generate == null ? 0 : generate.attempt();
      return new RequestEvent.ChunkReceived(attempt, new TokenChunk(id, offset, tokens, finish));
    }

    private AttemptFailure failure() {
      AttemptFailure.Kind[] kinds = {
        AttemptFailure.Kind.NOT_SENT,
        AttemptFailure.Kind.REFUSED,
        AttemptFailure.Kind.BROKEN,
        AttemptFailure.Kind.STALLED
      };
      return new AttemptFailure(kinds[random.nextInt(kinds.length)], "scripted");
    }

    private void apply(List<RequestAction> actions) {
      for (RequestAction action : actions) {
        if (action instanceof RequestAction.AskPlacement ask) {
          asking = ask.request().attempt();
          prefill = null;
          triedAndFailed.addAll(ask.request().excluded());
        } else if (action instanceof RequestAction.ScheduleRetry) {
          waiting = true;
        } else if (action instanceof RequestAction.SendPrefill send) {
          prefill = send;
        } else if (action instanceof RequestAction.SendGenerate send) {
          generate = send;
          generatesThatMayHaveRun++;
          sent = send.request().startOffset();
          assertThat(sent).isEqualTo(delivered.size());
          assertThat(triedAndFailed).doesNotContain(send.target().engine());
        } else if (action instanceof RequestAction.Deliver deliver) {
          delivered.addAll(deliver.tokens());
        } else if (action instanceof RequestAction.Complete
            || action instanceof RequestAction.Fail
            || action instanceof RequestAction.Abandon) {
          endings.add(action);
        }
      }
    }

    private static EngineTarget engine(String name) {
      return new EngineTarget(new EngineId(name), new NetworkAddress("127.0.0.1", 1));
    }
  }

  @Property(tries = 3000, seed = "20240601")
  void everyAnswerIsWholeOrSaysThatItIsNot(@ForAll long seed, @ForAll boolean repeatable) {
    History history = new History(seed, repeatable);
    history.run();
    for (int index = 0; index < history.delivered.size(); index++) {
      assertThat(history.delivered.get(index)).isEqualTo("t" + index);
    }
    RequestAction ending = history.endings.get(0);
    if (ending instanceof RequestAction.Complete) {
      assertThat(history.delivered).hasSize(history.answerLength);
    }
    if (ending instanceof RequestAction.Fail fail && fail.kind().outcome() == Outcome.NOT_RUN) {
      assertThat(history.engineSaw).isFalse();
    }
  }

  @Test
  void aPlacementThatComesTooLateIsGivenBack() {
    RequestStateMachine machine = new RequestStateMachine(spec(true), DEADLINE_NANOS);
    machine.start(0);
    machine.on(new RequestEvent.CallerGone(), 1);
    PlacementAnswer placed =
        new PlacementAnswer.Placed(
            new PoolId(new ZoneName("z"), new ModelName("m"), 0),
            new Epoch(1),
            Optional.empty(),
            History.engine("d"));
    List<RequestAction> actions = machine.on(new RequestEvent.PlacementAnswered(0, placed), 2);
    assertThat(actions).hasSize(1);
    PlacementProgress progress = ((RequestAction.Report) actions.get(0)).progress();
    assertThat(progress.stage()).isEqualTo(PlacementProgress.Stage.ABANDONED);
  }

  @Property(tries = 3000, seed = "20240602")
  void nothingIsResentOnceAByteMayHaveReachedAnEngine(@ForAll long seed) {
    List<String> sends = new ArrayList<>();
    Random random = new Random(seed);
    RequestStateMachine machine = new RequestStateMachine(spec(false), DEADLINE_NANOS);
    boolean mayHaveRun = false;
    List<RequestAction> actions = machine.start(0);
    for (int step = 0; step < 20 && !machine.ended(); step++) {
      int attempt = machine.attempt();
      RequestEvent event;
      if (actions.stream().anyMatch(RequestAction.AskPlacement.class::isInstance)) {
        event =
            new RequestEvent.PlacementAnswered(
                attempt,
                new PlacementAnswer.Placed(
                    new PoolId(new ZoneName("z"), new ModelName("m"), 0),
                    new Epoch(1),
                    Optional.empty(),
                    History.engine("d" + step)));
      } else {
        boolean ran = random.nextInt(4) == 0;
        mayHaveRun |= ran;
        AttemptFailure.Kind kind = ran ? AttemptFailure.Kind.BROKEN : AttemptFailure.Kind.REFUSED;
        event = new RequestEvent.DecodeFailed(attempt, new AttemptFailure(kind, "scripted"));
      }
      actions = machine.on(event, step);
      boolean sendsAgain = actions.stream().anyMatch(RequestAction.SendGenerate.class::isInstance);
      if (sendsAgain) {
        sends.add("send");
        assertThat(mayHaveRun).isFalse();
      }
    }
    assertThat(sends).isNotEmpty();
  }

  @Test
  void workBegunWaitsForAPlaceAndMayReturnToTheEngineThatFailed() {
    RequestStateMachine machine = new RequestStateMachine(spec(true), DEADLINE_NANOS);
    machine.start(0);
    machine.on(placedOn("d1", 0), 1);
    machine.on(
        new RequestEvent.ChunkReceived(0, new TokenChunk(ID, 0, List.of("t0"), Finish.NONE)), 2);
    machine.on(new RequestEvent.DecodeEnded(0), 3);

    List<RequestAction> refused = machine.on(noRoom(1), 4);
    List<RequestAction> again = machine.on(new RequestEvent.RetryDue(), 5);

    assertThat(refused).hasOnlyElementsOfType(RequestAction.ScheduleRetry.class).hasSize(1);
    assertThat(again)
        .singleElement()
        .isInstanceOfSatisfying(
            RequestAction.AskPlacement.class,
            ask -> assertThat(ask.request().excluded()).isEmpty());
  }

  @Test
  void workNotBegunIsRefusedAtOnceWhenThereIsNoPlace() {
    RequestStateMachine machine = new RequestStateMachine(spec(true), DEADLINE_NANOS);
    machine.start(0);

    assertThat(machine.on(noRoom(0), 1))
        .singleElement()
        .isInstanceOfSatisfying(
            RequestAction.Fail.class,
            fail -> assertThat(fail.kind()).isEqualTo(ErrorKind.NO_CAPACITY));
  }

  private static RequestEvent placedOn(String engine, int attempt) {
    return new RequestEvent.PlacementAnswered(
        attempt,
        new PlacementAnswer.Placed(
            new PoolId(new ZoneName("z"), new ModelName("m"), 0),
            new Epoch(1),
            Optional.empty(),
            History.engine(engine)));
  }

  private static RequestEvent noRoom(int attempt) {
    return new RequestEvent.PlacementAnswered(
        attempt, new PlacementAnswer.Refused(ErrorKind.NO_CAPACITY, "full", 500));
  }
}

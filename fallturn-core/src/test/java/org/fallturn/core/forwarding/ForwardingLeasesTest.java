package org.fallturn.core.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that runs at two engines: the node that asked for it sends it on, while
 * the node that forwards it has not heard that it was given up, since the link between them loses
 * or delays what they say.
 */
class ForwardingLeasesTest {

  private static final NetworkAddress OWNER = new NetworkAddress("10.0.0.1", 7000);
  private static final NetworkAddress OTHER = new NetworkAddress("10.0.0.2", 7000);
  private static final long TERM = ForwardingLeases.TERM.toNanos();
  private static final long STEP = TimeUnit.MILLISECONDS.toNanos(10);
  private static final int SEEDS = 300;
  private static final int STEPS = 600;

  private final ForwardingLeases leases = new ForwardingLeases();
  private final ForwardedRequests requests = new ForwardedRequests(OWNER);

  @Test
  void requestThatIsConfirmedGoesOn() {
    requests.begin("a", 0);
    leases.begin("a", OWNER, 0);
    for (long now = STEP; now < 5 * TERM; now += STEP) {
      for (ForwardingLeases.Question question : leases.takeQuestions(now)) {
        assertThat(leases.onAnswer(question, requests.confirm(question.keys(), now))).isEmpty();
      }
      assertThat(leases.takeLapsed(now)).isEmpty();
    }
  }

  @Test
  void requestOfASilentNodeIsGivenUpAfterTheTerm() {
    leases.begin("a", OWNER, 0);
    assertThat(leases.takeLapsed(TERM - 1)).isEmpty();
    assertThat(leases.takeLapsed(TERM)).containsExactly("a");
    assertThat(leases.isEmpty()).isTrue();
  }

  @Test
  void requestThatItsNodeHasEndedIsGivenUpAtTheNextQuestion() {
    requests.begin("a", 0);
    requests.begin("b", 0);
    leases.begin("a", OWNER, 0);
    leases.begin("b", OWNER, 0);
    requests.end("a", 1);
    ForwardingLeases.Question question = leases.takeQuestions(2).get(0);
    assertThat(leases.onAnswer(question, requests.confirm(question.keys(), 2)))
        .containsExactly("a");
    assertThat(leases.takeLapsed(TERM)).isEmpty();
  }

  @Test
  void eachNodeIsAskedForItsOwnRequests() {
    leases.begin("a", OWNER, 0);
    leases.begin("b", OTHER, 0);
    assertThat(leases.takeQuestions(1))
        .containsExactlyInAnyOrder(
            new ForwardingLeases.Question(OWNER, Set.of("a"), 1),
            new ForwardingLeases.Question(OTHER, Set.of("b"), 1));
    assertThat(leases.takeQuestions(2)).isEmpty();
  }

  @Test
  void answerThatWasLongUnderWayProlongsNoMoreThanItsQuestion() {
    leases.begin("a", OWNER, 0);
    ForwardingLeases.Question question = leases.takeQuestions(STEP).get(0);
    leases.onAnswer(question, Set.of("a"));
    assertThat(leases.takeLapsed(STEP + TERM)).containsExactly("a");
  }

  /** Questions and answers are lost or delayed by up to two terms, and come in any order. */
  @Test
  void whenTheOwnerGoesOnTheOtherNodeHasGivenUp() {
    for (int seed = 0; seed < SEEDS; seed++) {
      assertThat(isNeverSentOnTooEarly(new Random(seed))).as("seed " + seed).isTrue();
    }
  }

  private record Delayed(
      long nanos, ForwardingLeases.Question question, Set<String> confirmed, boolean answer) {}

  private static boolean isNeverSentOnTooEarly(Random random) {
    ForwardingLeases forwarder = new ForwardingLeases();
    ForwardedRequests owner = new ForwardedRequests(OWNER);
    Set<String> running = new HashSet<>();
    Deque<Delayed> underWay = new ArrayDeque<>();
    long sentOnAt = Long.MAX_VALUE;
    owner.begin("a", 0);
    forwarder.begin("a", OWNER, 0);
    running.add("a");
    long givesUpAt = random.nextInt(STEPS) * STEP;
    for (long now = STEP; now < (STEPS + 300) * STEP; now += STEP) {
      for (Delayed one : List.copyOf(underWay)) {
        if (one.nanos() <= now) {
          underWay.remove(one);
          if (one.answer()) {
            running.removeAll(forwarder.onAnswer(one.question(), one.confirmed()));
          } else {
            Set<String> confirmed = owner.confirm(one.question().keys(), now);
            send(underWay, new Delayed(now, one.question(), confirmed, true), random);
          }
        }
      }
      for (ForwardingLeases.Question question : forwarder.takeQuestions(now)) {
        send(underWay, new Delayed(now, question, Set.of(), false), random);
      }
      running.removeAll(new ArrayList<>(forwarder.takeLapsed(now)));
      if (now >= givesUpAt && sentOnAt == Long.MAX_VALUE) {
        sentOnAt = owner.end("a", now);
      }
      if (now >= sentOnAt && running.contains("a")) {
        return false;
      }
    }
    return running.isEmpty();
  }

  private static void send(Deque<Delayed> underWay, Delayed message, Random random) {
    if (random.nextInt(3) > 0) {
      long delay = random.nextInt(200) * STEP;
      underWay.add(
          new Delayed(
              message.nanos() + (random.nextBoolean() ? 0 : delay),
              message.question(),
              message.confirmed(),
              message.answer()));
    }
  }
}

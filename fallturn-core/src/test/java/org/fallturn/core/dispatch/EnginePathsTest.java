package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Checks by which way a node sends requests to an engine. A node whose links were cut took each
 * engine for faulty, and told its callers that no engine took their requests; one that went through
 * others on weaker evidence would load them for engines that are really down, and one that never
 * came back to its own links would load them for good.
 */
class EnginePathsTest {

  private static final NetworkAddress PEER = new NetworkAddress("10.0.0.2", 7660);
  private static final NetworkAddress OTHER_PEER = new NetworkAddress("10.0.0.3", 7660);

  private final ServingEngine engine = Requests.engine("e-1", Requests.MODEL, EngineStage.DECODE);
  private final Dispatcher dispatcher = Requests.dispatcher(engine);
  private long now = Requests.START;

  EnginePathsTest() {
    dispatcher.paths().setPeers(List.of(PEER, OTHER_PEER));
  }

  private RequestProgress send() {
    RequestProgress progress = Requests.prompt(true, 100, 3_000);
    assertThat(dispatcher.start(progress, now)).isInstanceOf(Decision.Run.class);
    return progress;
  }

  private RequestProgress sendTo(ServingEngine wanted) {
    RequestProgress progress = send();
    for (int sent = 0; progress.engine().filter(wanted::equals).isEmpty(); sent++) {
      assertThat(sent).as("requests sent to other engines").isLessThan(100);
      progress = send();
    }
    return progress;
  }

  private void failTwice(AttemptOutcome outcome) {
    for (int failure = 0; failure < 2; failure++) {
      dispatcher.onFailure(send(), outcome, now);
    }
  }

  private void pass(Duration time) {
    now += time.toNanos();
  }

  /** Another node received a sign of life from the engine just now. */
  private void peerHearsEngine() {
    EngineDigest heard = new EngineDigest(1, 0, List.of(), 0, 0, 0);
    LoadDigest digest =
        new LoadDigest(
            "n-2", 1, now, 1, "", Map.of("e-1", heard, "e-2", heard), List.of(), Map.of());
    Requests.receive(dispatcher, digest, now);
    dispatcher.onTick(now);
  }

  private void loseLink() {
    failTwice(AttemptOutcome.NOT_SENT);
    pass(Duration.ofMillis(100));
    peerHearsEngine();
  }

  private void loseLinks(ServingEngine one, ServingEngine other) {
    for (ServingEngine lost : List.of(one, other, one, other)) {
      dispatcher.onFailure(sendTo(lost), AttemptOutcome.NOT_SENT, now);
    }
    pass(Duration.ofMillis(100));
    peerHearsEngine();
  }

  @Test
  void engineThatOthersHearIsReachedThroughThem() {
    loseLink();
    assertThat(send().forwarder()).isPresent();
    assertThat(dispatcher.paths().engineIdsThroughPeers()).containsExactly("e-1");
  }

  @Test
  void engineThatNobodyHearsIsNotReachedThroughOthers() {
    failTwice(AttemptOutcome.NOT_SENT);
    pass(Duration.ofMillis(100));
    dispatcher.onTick(now);
    assertThat(send().forwarder()).isEmpty();
  }

  /** Its connections can be opened: it takes requests from others no better. */
  @Test
  void engineThatLosesAnswersIsNotReachedThroughOthers() {
    failTwice(AttemptOutcome.LOST);
    pass(Duration.ofMillis(100));
    peerHearsEngine();
    assertThat(dispatcher.paths().takeDueProbes(now)).containsExactly(new LinkProbe(engine, true));
    dispatcher.paths().onProbed(new LinkProbe(engine, true), true, now);
    pass(Duration.ofMillis(100));
    peerHearsEngine();
    assertThat(send().forwarder()).isEmpty();
  }

  /**
   * Connections that were accepted and reset at once ended requests as lost, not as never sent. The
   * probe failed at once, too, before any other node had reported the engine again.
   */
  @Test
  void engineWhoseConnectionsAreResetIsReachedThroughOthers() {
    failTwice(AttemptOutcome.LOST);
    pass(Duration.ofMillis(100));
    peerHearsEngine();
    dispatcher.paths().onProbed(new LinkProbe(engine, true), false, now);
    assertThat(send().forwarder()).isEmpty();
    pass(Duration.ofMillis(100));
    peerHearsEngine();
    assertThat(send().forwarder()).isPresent();
  }

  @Test
  void ownLinkIsUsedAgainOnceItIsAnswered() {
    loseLink();
    assertThat(dispatcher.paths().takeDueProbes(now)).containsExactly(new LinkProbe(engine, true));
    dispatcher.paths().onProbed(new LinkProbe(engine, true), true, now);
    assertThat(send().forwarder()).isEmpty();
  }

  /** An answer by way of another node says nothing about the link of this one. */
  @Test
  void answerThroughAnotherNodeDoesNotEndTheDetour() {
    loseLink();
    RequestProgress progress = send();
    dispatcher.onSignOfLife(progress, now);
    dispatcher.onFinished(progress, now);
    assertThat(send().forwarder()).isPresent();
  }

  /** A request that was sent on an open connection before is answered there. */
  @Test
  void answerOnAnOpenConnectionDoesNotEndTheDetour() {
    RequestProgress early = send();
    loseLink();
    dispatcher.onSignOfLife(early, now);
    dispatcher.onFinished(early, now);
    assertThat(send().forwarder()).isPresent();
  }

  /** Answers on open connections ended each suspension before the others had reported again. */
  @Test
  void engineThatRefusesNewConnectionsIsReachedThroughOthersAlthoughOpenOnesAnswer() {
    RequestProgress onOpenConnection = send();
    dispatcher.onFailure(send(), AttemptOutcome.NOT_SENT, now);
    dispatcher.onTick(now);
    assertThat(dispatcher.paths().takeDueProbes(now)).containsExactly(new LinkProbe(engine, true));
    dispatcher.paths().onProbed(new LinkProbe(engine, true), false, now);
    pass(Duration.ofMillis(50));
    dispatcher.onSignOfLife(onOpenConnection, now);
    pass(Duration.ofMillis(50));
    peerHearsEngine();
    assertThat(send().forwarder()).isPresent();
  }

  @Test
  void nodeThatBringsNoAnswerIsAvoidedBeforeItsAttemptIsOver() {
    loseLink();
    RequestProgress unanswered = send();
    dispatcher.paths().onForwarderFailed(unanswered, now);
    for (int sent = 0; sent < 4; sent++) {
      assertThat(send().forwarder()).isPresent().isNotEqualTo(unanswered.forwarder());
    }
  }

  @Test
  void nodeThatCannotForwardIsAvoided() {
    loseLink();
    RequestProgress first = send();
    NetworkAddress failed = first.forwarder().orElseThrow();
    assertThat(dispatcher.onFailure(first, AttemptOutcome.NOT_SENT, now))
        .isInstanceOf(Decision.Run.class);
    assertThat(first.forwarder()).isPresent().get().isNotEqualTo(failed);
    assertThat(send().forwarder()).isPresent().get().isNotEqualTo(failed);
  }

  /**
   * Engines that end one after the other made each node that could not pass on a request to one of
   * them look useless for all, and requests went out on links that were known to be lost: "served
   * 46 of 240 requests, the others 418 of 419".
   */
  @Test
  void nodesThatDoNotReachOneEngineStillForwardToTheOthers() {
    ServingEngine ended = Requests.engine("e-2", Requests.MODEL, EngineStage.DECODE);
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(engine, ended)), now);
    loseLinks(engine, ended);
    for (int tries = 0; tries < 2; tries++) {
      dispatcher.onFailure(sendTo(ended), AttemptOutcome.NOT_SENT, now);
    }
    assertThat(sendTo(engine).forwarder()).isPresent();
  }

  /** A link that is known to be lost is worse than a node that failed a moment ago. */
  @Test
  void lostLinkIsNotUsedWhileAllOthersAreAvoided() {
    loseLink();
    RequestProgress first = send();
    NetworkAddress earliest = first.forwarder().orElseThrow();
    dispatcher.onFailure(first, AttemptOutcome.NOT_SENT, now);
    pass(Duration.ofMillis(10));
    dispatcher.onFailure(first, AttemptOutcome.NOT_SENT, now);
    assertThat(send().forwarder()).contains(earliest);
  }

  /**
   * Engines that replace others have ids of their own, so a node whose links were all cut sent the
   * first requests to each of them into the void.
   */
  @Test
  void newEngineIsReachedThroughOthersWhileTheOwnLinksAreLost() {
    loseLink();
    ServingEngine successor = Requests.engine("e-2", Requests.MODEL, EngineStage.DECODE);
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(successor)), now);
    assertThat(send().forwarder()).isPresent();
    dispatcher.onTick(now);
    assertThat(dispatcher.paths().takeDueProbes(now)).contains(new LinkProbe(successor, true));
    dispatcher.paths().onProbed(new LinkProbe(successor, true), true, now);
    assertThat(send().forwarder()).isEmpty();
  }

  /** The engine has ended after it was last heard. */
  @Test
  void engineThatFailsThroughOthersTooCountsAsFaulty() {
    NetworkAddress third = new NetworkAddress("10.0.0.4", 7660);
    NetworkAddress fourth = new NetworkAddress("10.0.0.5", 7660);
    dispatcher.paths().setPeers(List.of(PEER, OTHER_PEER, third, fourth));
    loseLink();
    for (int failure = 0; failure < 3; failure++) {
      dispatcher.onFailure(send(), AttemptOutcome.SILENT, now);
    }
    pass(Duration.ofSeconds(1));
    assertThat(send().forwarder()).isEmpty();
  }

  /**
   * What an engine answered through another node counted for nothing, so that a node whose links
   * were cut went on choosing an engine that failed every request: 49 of 52 requests in two
   * seconds.
   */
  @Test
  void engineThatAnswersWithFailuresThroughOthersIsAvoided() {
    ServingEngine failing = Requests.engine("e-1", Requests.APPLICATION, EngineStage.NONE);
    ServingEngine sound = Requests.engine("e-2", Requests.APPLICATION, EngineStage.NONE);
    loseLink();
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(failing, sound)), now);
    int failures = 0;
    for (int request = 0; request < 100; request++) {
      RequestProgress progress = Requests.applicationAt(now, RequestKind.IDEMPOTENT, 1);
      dispatcher.start(progress, now);
      assertThat(progress.forwarder()).isPresent();
      pass(Duration.ofMillis(10));
      if (progress.engine().filter(failing::equals).isPresent()) {
        failures++;
        dispatcher.onFailure(progress, AttemptOutcome.ANSWERED_FAILURE, now);
      } else {
        dispatcher.onFinished(progress, now);
      }
    }
    assertThat(failures).isLessThan(25);
  }

  /** Requests that hang on open connections fail only at their deadline. */
  @Test
  void linkThatIsQuietWhileOthersHearTheEngineIsProbed() {
    send();
    pass(Duration.ofMillis(900));
    peerHearsEngine();
    assertThat(dispatcher.paths().takeDueProbes(now)).containsExactly(new LinkProbe(engine, false));
    long asked = now;
    pass(Duration.ofMillis(500));
    dispatcher.paths().onProbed(new LinkProbe(engine, false), false, asked);
    peerHearsEngine();
    assertThat(send().forwarder()).isPresent();
  }

  /**
   * An engine that names a limit of zero counts probes like requests. A node probed its link each
   * second, since the engine was suspended, so that no request was ever sent that could have found
   * out that the limit had ended: "1,357 of 2,701 requests served after the last fault".
   */
  @Test
  void probesOfALinkDoNotPreventTryingALimitOfZero() {
    dispatcher.setNodeCount(OptionalInt.of(1), true);
    EngineLimits limits = dispatcher.notices().limits();
    failTwice(AttemptOutcome.LOST);
    limits.onLimitAnnounced("e-1", 0, now, now);
    int sent = 0;
    for (int tick = 0; tick < 600; tick++) {
      pass(Duration.ofMillis(100));
      peerHearsEngine();
      dispatcher.paths().takeDueProbes(now).forEach(probe -> limits.onSent("e-1", now));
      limits.onAsked("e-1", now);
      sent += limits.tryTake("e-1", now) ? 1 : 0;
    }
    assertThat(sent).isGreaterThan(3);
  }

  /**
   * Only parts of answers that were still coming counted as signs of life. An engine whose answers
   * are whole at once was never reported as heard, so that a node whose links hang went on sending
   * to it for ten seconds.
   */
  @Test
  void engineThatAnswersAtOnceIsReportedAsHeard() {
    RequestProgress progress = send();
    pass(Duration.ofMillis(5));
    dispatcher.onFinished(progress, now);
    pass(Duration.ofMillis(100));
    EngineDigest reported = dispatcher.fleet().ownLoads(now).get("e-1");
    assertThat(reported).isNotNull();
    assertThat(reported.heardAgoMillis()).isEqualTo(100);
  }

  @Test
  void nodeWithoutOthersUsesItsOwnLink() {
    dispatcher.paths().setPeers(List.of());
    failTwice(AttemptOutcome.SILENT);
    pass(Duration.ofMillis(100));
    peerHearsEngine();
    assertThat(send().forwarder()).isEmpty();
    assertThat(dispatcher.paths().takeDueProbes(now)).isEmpty();
  }
}

package org.fallturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Guards against contents that keep crashing engines, and against innocent contents in quarantine:
 * checks the evidence as one node sees it and as others report it.
 */
class QuarantineTest {

  private static final long START = TimeUnit.SECONDS.toNanos(1_000);
  private static final Function<String, OptionalLong> NOT_HEARD = engine -> OptionalLong.empty();
  private static final RequestContent CULPRIT = content("culprit");
  private static final RequestContent BYSTANDER = content("bystander");

  private final Quarantine quarantine = new Quarantine("node-1");
  private final Quarantine other = new Quarantine("node-2");

  private static RequestContent content(String body) {
    return new RequestContent("POST host/a", "", body.getBytes(StandardCharsets.UTF_8));
  }

  private static long at(long millis) {
    return START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static void crash(Quarantine observer, RequestContent content, int engines) {
    for (int engine = 1; engine <= engines; engine++) {
      crashOne(observer, content, "e-" + engine, 100L * engine);
    }
  }

  /** Breaks the connection to an engine and reports the engine as gone. */
  private static void crashOne(
      Quarantine observer, RequestContent content, String engineId, long millis) {
    observer.onCrash(content, engineId, at(millis));
    observer.onEngineGone(engineId, at(millis));
  }

  private QuarantineStatus status(RequestContent content, long millis) {
    return quarantine.status(content, at(millis));
  }

  private static void sendReports(Quarantine from, Quarantine to, long millis) {
    from.takeReports(false, at(millis)).forEach(report -> to.onPeerReport(report, at(millis)));
  }

  @Test
  void contentBecomesSuspectedThenQuarantined() {
    crash(quarantine, CULPRIT, 1);
    assertThat(status(CULPRIT, 110)).isEqualTo(QuarantineStatus.CLEAR);
    crash(quarantine, CULPRIT, 2);
    assertThat(status(CULPRIT, 210)).isEqualTo(QuarantineStatus.SUSPECTED);
    crash(quarantine, CULPRIT, 3);
    assertThat(status(CULPRIT, 310)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(BYSTANDER, 310)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void brokenConnectionIsNoCrashWhileTheEngineIsListed() {
    for (int engine = 1; engine <= 4; engine++) {
      quarantine.onCrash(CULPRIT, "e-" + engine, at(100L * engine));
    }
    quarantine.onDirectory(engine -> true, at(450));
    assertThat(status(CULPRIT, 460)).isEqualTo(QuarantineStatus.CLEAR);
    quarantine.onDirectory(engine -> engine.equals("e-4"), at(470));
    assertThat(status(CULPRIT, 480)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void enginesAreProbedAfterASecondConnectionBroke() {
    quarantine.onCrash(CULPRIT, "e-1", at(100));
    assertThat(quarantine.takeProbes(at(110))).isEmpty();
    quarantine.onCrash(CULPRIT, "e-2", at(200));
    sendReports(quarantine, other, 200);
    assertThat(quarantine.takeProbes(at(210))).containsExactlyInAnyOrder("e-1", "e-2");
    assertThat(quarantine.takeProbes(at(220))).isEmpty();
    assertThat(other.takeProbes(at(220))).isEmpty();
    quarantine.onEngineGone("e-1", at(230));
    assertThat(quarantine.takeProbes(at(600))).containsExactly("e-2");
    assertThat(quarantine.takeProbes(at(900))).containsExactly("e-2");
    assertThat(quarantine.takeProbes(at(1_200))).isEmpty();
  }

  @Test
  void crashesInOnePowerCutDoNotQuarantine() {
    for (String engine : new String[] {"e-1", "e-2", "e-3", "e-4"}) {
      crashOne(quarantine, CULPRIT, engine, 5);
    }
    assertThat(status(CULPRIT, 10)).isEqualTo(QuarantineStatus.SUSPECTED);
  }

  @Test
  void engineHeardLaterHasNotCrashed() {
    crash(quarantine, CULPRIT, 3);
    quarantine.onTick(
        engine -> engine.equals("e-2") ? OptionalLong.of(at(900)) : OptionalLong.empty(), at(900));
    assertThat(status(CULPRIT, 910)).isEqualTo(QuarantineStatus.SUSPECTED);
  }

  @Test
  void lateMessageOfACrashedEngineIsNoSignOfLife() {
    crash(quarantine, CULPRIT, 3);
    quarantine.onTick(engine -> OptionalLong.of(at(500)), at(500));
    assertThat(status(CULPRIT, 510)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void bystandersAreClearedByContentThatExplainsTheirCrashes() {
    crash(quarantine, CULPRIT, 4);
    for (String engine : new String[] {"e-1", "e-2", "e-3"}) {
      crashOne(quarantine, BYSTANDER, engine, 450);
    }
    quarantine.onTick(NOT_HEARD, at(455));
    assertThat(status(BYSTANDER, 460)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void bystandersSeenBeforeTheCulpritAreCleared() {
    crash(quarantine, BYSTANDER, 3);
    crash(quarantine, CULPRIT, 4);
    quarantine.onTick(NOT_HEARD, at(450));
    assertThat(status(CULPRIT, 460)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(BYSTANDER, 460)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void oneSuccessfulAnswerReleasesContentAtEveryNode() {
    crash(quarantine, CULPRIT, 3);
    sendReports(quarantine, other, 310);
    quarantine.onTick(NOT_HEARD, at(2_000));
    other.onTick(NOT_HEARD, at(2_000));
    other.onSuccess(CULPRIT, at(2_100));
    sendReports(other, quarantine, 2_110);
    sendReports(quarantine, other, 2_120);
    assertThat(status(CULPRIT, 2_130)).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(other.status(CULPRIT, at(2_130))).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void confirmedQuarantineHoldsWhateverIsHeardLater() {
    crash(quarantine, CULPRIT, 3);
    quarantine.onTick(NOT_HEARD, at(1_400));
    quarantine.onTick(engine -> OptionalLong.of(at(1_500)), at(1_500));
    assertThat(status(CULPRIT, 1_510)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void crashesSeenByDifferentNodesAddUp() {
    crashOne(quarantine, CULPRIT, "e-1", 0);
    crashOne(quarantine, CULPRIT, "e-2", 100);
    crashOne(other, CULPRIT, "e-3", 200);
    sendReports(quarantine, other, 210);
    assertThat(other.status(CULPRIT, at(220))).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(other.takeUrgentChange()).isTrue();
    sendReports(other, quarantine, 220);
    assertThat(status(CULPRIT, 230)).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void quarantineIsReportedAgainToNodeThatMissedEveryMessage() {
    crash(quarantine, CULPRIT, 3);
    quarantine.takeReports(false, at(310));
    quarantine.onTick(NOT_HEARD, at(5_000));
    sendReports(quarantine, other, 5_000);
    assertThat(other.status(CULPRIT, at(5_010))).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void contentThatNobodyRequestsExpiresAlthoughNodesReportIt() {
    crash(quarantine, CULPRIT, 3);
    long millis = 400;
    for (; millis < 2 * Quarantine.LIFETIME_MILLIS; millis += 10_000) {
      quarantine.onTick(NOT_HEARD, at(millis));
      other.onTick(NOT_HEARD, at(millis));
      sendReports(quarantine, other, millis);
      sendReports(other, quarantine, millis);
    }
    assertThat(status(CULPRIT, millis)).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(other.status(CULPRIT, at(millis))).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void floodOfOtherContentsDoesNotEvictQuarantinedOnes() {
    crash(quarantine, CULPRIT, 3);
    for (int number = 0; number < 3 * SuspectIndex.MAX_SUSPECTS; number++) {
      crashOne(quarantine, content("flood-" + number), "f-" + number, 500);
    }
    assertThat(status(CULPRIT, 510)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(content("flood-0"), 510)).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void nodeThatSawTheLastCrashStoresAtOnceAndOthersDoNot() {
    crash(quarantine, CULPRIT, 3);
    sendReports(quarantine, other, 310);
    assertThat(quarantine.takeUnstored(at(310))).containsExactly(CULPRIT.fingerprint());
    assertThat(other.takeUnstored(at(310))).isEmpty();
    quarantine.onStored(CULPRIT.fingerprint(), at(320));
    sendReports(quarantine, other, 330);
    assertThat(other.takeUnstored(at(20_000))).isEmpty();
  }

  /** A store restored from a copy lacks contents, which nodes that start later would send again. */
  @Test
  void storedContentsAreKnownForARestoredStore() {
    crash(quarantine, CULPRIT, 3);
    assertThat(quarantine.stored()).isEmpty();
    quarantine.onStored(CULPRIT.fingerprint(), at(320));
    assertThat(quarantine.stored()).containsExactly(CULPRIT.fingerprint());
  }

  @Test
  void anotherNodeStoresWhenTheFirstCouldNot() {
    crash(quarantine, CULPRIT, 3);
    sendReports(quarantine, other, 310);
    other.takeUnstored(at(310));
    assertThat(other.takeUnstored(at(20_000))).containsExactly(CULPRIT.fingerprint());
  }

  @Test
  void storedContentIsQuarantinedFromTheStartAndRenewedWhileRequested() {
    quarantine.onLoadedFromStore(CULPRIT.fingerprint(), Quarantine.LIFETIME_MILLIS / 2, at(0));
    assertThat(status(CULPRIT, 10)).isEqualTo(QuarantineStatus.QUARANTINED);
    quarantine.takeUnstored(at(20));
    assertThat(quarantine.takeUnstored(at(20_000))).containsExactly(CULPRIT.fingerprint());
  }

  /**
   * A node deleted the store entry of a content 50 ms after another node had written it, and all
   * nodes that started later sent the content again. Messages about the crashes had taken different
   * times, so that for this node the crashes lay too close together to count. It had also been told
   * of the entry, and mistook it for that of a released content.
   */
  @Test
  void nodeThatHasNotQuarantinedAContentLeavesItInTheStore() {
    crashOne(quarantine, CULPRIT, "e-1", 0);
    quarantine.takeReports(false, at(0)).forEach(report -> other.onPeerReport(report, at(40)));
    crashOne(quarantine, CULPRIT, "e-2", 50);
    crashOne(quarantine, CULPRIT, "e-3", 60);
    quarantine.onStored(CULPRIT.fingerprint(), at(70));
    sendReports(quarantine, other, 70);
    other.onTick(NOT_HEARD, at(80));
    assertThat(other.status(CULPRIT, at(90))).isEqualTo(QuarantineStatus.SUSPECTED);
    assertThat(other.takeReleased()).isEmpty();
  }

  @Test
  void suspicionOutlastsTheProcess() {
    crash(quarantine, CULPRIT, 2);
    sendReports(quarantine, other, 210);
    assertThat(other.takeUnstoredSuspects()).isEmpty();
    Map<RequestFingerprint, Set<String>> stored = quarantine.takeUnstoredSuspects();
    assertThat(stored).containsExactly(Map.entry(CULPRIT.fingerprint(), Set.of("e-1", "e-2")));
    assertThat(quarantine.takeUnstoredSuspects()).isEmpty();
    Quarantine restarted = new Quarantine("node-1");
    stored.forEach(
        (content, engines) ->
            restarted.onLoadedFromStore(
                new QuarantineStore.StoredContent(content, 100, engines), at(1_000)));
    assertThat(restarted.status(CULPRIT, at(1_010))).isEqualTo(QuarantineStatus.SUSPECTED);
    crashOne(restarted, CULPRIT, "e-3", 1_100);
    assertThat(restarted.status(CULPRIT, at(1_110))).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void endedSuspicionIsRemovedFromTheStore() {
    crash(quarantine, CULPRIT, 2);
    quarantine.takeUnstoredSuspects();
    quarantine.onSuccess(CULPRIT, at(300));
    assertThat(quarantine.takeReleased()).containsExactly(CULPRIT.fingerprint());
  }

  /**
   * Guards against several copies of a content being sent while one runs, each of which crashes an
   * engine.
   */
  @Test
  void suspectedContentIsSentOneCopyAtATime() {
    quarantine.onSent(CULPRIT, "request-1");
    crash(quarantine, CULPRIT, 2);
    assertThat(status(CULPRIT, 1_000)).isEqualTo(QuarantineStatus.QUARANTINED);
    quarantine.onEnded("request-1");
    assertThat(status(CULPRIT, 1_010)).isEqualTo(QuarantineStatus.SUSPECTED);
  }

  @Test
  void suspectedContentWaitsUntilTheLastCrashIsDecided() {
    crash(quarantine, CULPRIT, 2);
    quarantine.onCrash(CULPRIT, "e-3", at(300));
    assertThat(status(CULPRIT, 310)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(CULPRIT, 900)).isEqualTo(QuarantineStatus.SUSPECTED);
    assertThat(quarantine.takeUnstored(at(910))).isEmpty();
  }

  @Test
  void releasedContentIsRemovedFromTheStore() {
    quarantine.onLoadedFromStore(CULPRIT.fingerprint(), 1_000, at(0));
    quarantine.onSuccess(CULPRIT, at(100));
    assertThat(quarantine.takeReleased()).containsExactly(CULPRIT.fingerprint());
    assertThat(quarantine.takeReleased()).isEmpty();
  }
}

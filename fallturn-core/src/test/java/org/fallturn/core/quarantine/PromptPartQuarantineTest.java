package org.fallturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are all different and crash engines by one part of their prompts,
 * and against sound requests that are held back because they share the other parts.
 */
class PromptPartQuarantineTest {

  private static final long START = TimeUnit.SECONDS.toNanos(1_000);

  private final Quarantine quarantine = new Quarantine("node-1");
  private final Quarantine other = new Quarantine("node-2");
  private final List<QuarantineStore.StoredContent> written = new ArrayList<>();
  private int requests;

  private static long at(long millis) {
    return START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** A request like no other, whose prompt begins with these parts. */
  private RequestContent request(String... parts) {
    byte[] body = ("request " + requests++).getBytes(StandardCharsets.UTF_8);
    return new RequestContent(
        "POST host/a", "", body, Arrays.stream(parts).map(id -> new SharedPart("m", id)).toList());
  }

  private void crash(String engineId, BrokenAttempt attempt, long millis, String... parts) {
    crash(quarantine, engineId, attempt, millis, request(parts));
  }

  private static void crash(
      Quarantine observer, String engineId, BrokenAttempt attempt, long millis, RequestContent of) {
    observer.onCrash(of, engineId, attempt, at(millis));
    observer.onEngineGone(engineId, at(millis));
  }

  /** Three engines crash under requests with these parts, the second with no other request. */
  private void crashThree(String... parts) {
    crash("e-1", BrokenAttempt.RUN, 100, parts);
    crash("e-2", BrokenAttempt.RUN_ALONE, 200, parts);
    crash("e-3", BrokenAttempt.RUN, 300, parts);
  }

  private QuarantineStatus status(long millis, String... parts) {
    return quarantine.status(request(parts), at(millis));
  }

  private static void sendReports(Quarantine from, Quarantine to, long millis) {
    from.takeReports(false, at(millis)).forEach(report -> to.onPeerReport(report, at(millis)));
  }

  @Test
  void newRequestsWithThePartAreHeldBack() {
    quarantine.onSuccess(request("first"), at(0));
    crashThree("first", "poison");
    assertThat(status(310, "first", "poison")).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(310, "poison", "unknown")).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(310, "first")).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(status(310, "first", "unknown")).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void partThatIsInEveryCrashButNeverAloneIsOnlySuspected() {
    for (int engine = 1; engine <= 5; engine++) {
      crash("e-" + engine, BrokenAttempt.RUN, 100L * engine, "first", "own" + engine);
    }
    assertThat(status(600, "first")).isEqualTo(QuarantineStatus.SUSPECTED);
  }

  @Test
  void readingAheadIsNoEvidence() {
    for (int engine = 1; engine <= 5; engine++) {
      crash("e-" + engine, BrokenAttempt.READ_AHEAD, 100L * engine, "first");
    }
    assertThat(status(600, "first")).isEqualTo(QuarantineStatus.CLEAR);
  }

  /** Without this, a first part that was never answered before keeps all its requests back. */
  @Test
  void requestThatLacksAnotherCandidateIsTriedAndClearsItsParts() {
    crashThree("first", "poison");
    assertThat(status(900, "first", "poison")).isEqualTo(QuarantineStatus.QUARANTINED);
    RequestContent tried = request("first");
    assertThat(quarantine.status(tried, at(900))).isEqualTo(QuarantineStatus.SUSPECTED);
    quarantine.onSent(tried, "tried");
    assertThat(status(910, "first")).isEqualTo(QuarantineStatus.ON_TRIAL);
    quarantine.onEnded("tried");
    quarantine.onSuccess(tried, at(1_000));
    assertThat(status(1_010, "first")).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(status(1_010, "first", "poison")).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(1_010, "poison")).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void crashOfATriedRequestConvictsItsPart() {
    crashThree("companion", "poison");
    assertThat(status(900, "poison")).isEqualTo(QuarantineStatus.SUSPECTED);
    crash("e-4", BrokenAttempt.RUN_ALONE, 1_000, "poison");
    assertThat(status(1_010, "poison")).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(status(1_010, "companion")).isEqualTo(QuarantineStatus.SUSPECTED);
  }

  @Test
  void answerSeenByAnotherNodeClearsAPart() {
    other.onSuccess(request("first"), at(0));
    crashThree("first", "poison");
    sendReports(quarantine, other, 310);
    assertThat(other.takeUrgentChange()).isTrue();
    sendReports(other, quarantine, 320);
    assertThat(status(330, "first")).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(other.status(request("first"), at(330))).isEqualTo(QuarantineStatus.CLEAR);
    assertThat(other.status(request("poison"), at(330))).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void crashesSeenByDifferentNodesAddUp() {
    crash("e-1", BrokenAttempt.RUN, 0, "poison");
    crash(other, "e-2", BrokenAttempt.RUN_ALONE, 100, request("poison"));
    crash(other, "e-3", BrokenAttempt.RUN, 200, request("poison"));
    sendReports(quarantine, other, 210);
    assertThat(other.status(request("poison"), at(220))).isEqualTo(QuarantineStatus.QUARANTINED);
  }

  @Test
  void repeatOfARequestThatMayHaveCrashedAnEngineIsSentAlone() {
    RequestContent broken = request("poison");
    quarantine.onCrash(broken, "e-1", BrokenAttempt.RUN, at(0));
    assertThat(quarantine.status(broken, true, at(1))).isEqualTo(QuarantineStatus.SUSPECTED);
    assertThat(status(1, "poison")).isEqualTo(QuarantineStatus.CLEAR);
  }

  @Test
  void partIsHeldBackAfterARestartAndItsCompanionIsTried() {
    crashThree("companion", "poison");
    crash("e-4", BrokenAttempt.RUN_ALONE, 1_000, "poison");
    Map<RequestFingerprint, Set<String>> suspects = quarantine.takeUnstoredSuspects();
    Quarantine restarted = new Quarantine("node-1");
    for (RequestFingerprint held : quarantine.takeUnstored(at(1_010))) {
      restarted.onLoadedFromStore(held, 10, at(2_000));
    }
    suspects.forEach(
        (content, engines) ->
            restarted.onLoadedFromStore(
                new QuarantineStore.StoredContent(content, 10, engines), at(2_000)));
    restarted.onTick(engine -> OptionalLong.empty(), at(2_010));
    assertThat(restarted.status(request("poison"), at(2_020)))
        .isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(restarted.status(request("companion"), at(2_020)).sendable()).isTrue();
  }

  /** One content crashes three engines, and all prompts begin with the part that it begins with. */
  private void crashThreeUnderOneContent() {
    RequestContent poison = request("everywhere");
    for (int engine = 1; engine <= 3; engine++) {
      quarantine.onCrash(poison, "e-" + engine, BrokenAttempt.RUN_ALONE, at(100L * engine));
      quarantine.onEngineGone("e-" + engine, at(100L * engine + 10));
      quarantine.onTick(heard -> OptionalLong.empty(), at(100L * engine + 20));
      quarantine
          .takeUnstoredSuspects()
          .forEach((content, engines) -> written.add(stored(content, engines)));
    }
    for (RequestFingerprint held : quarantine.takeUnstored(at(1_510))) {
      quarantine.onStored(held, at(1_520));
      written.add(stored(held, Set.of()));
    }
  }

  private void assertSoundRequestsAreSentAfter(List<QuarantineStore.StoredContent> rows) {
    Quarantine next = new Quarantine("node-1");
    rows.forEach(row -> next.onLoadedFromStore(row, at(2_000)));
    next.onTick(heard -> OptionalLong.empty(), at(2_010));
    assertThat(next.isHeldBack(request("everywhere"))).as(rows.toString()).isFalse();
  }

  /** All nodes end between any two writes to the store, and the next one reads what is there. */
  @Test
  void partThatAContentExplainsIsNotHeldBackAfterARestart() {
    crashThreeUnderOneContent();
    for (int count = 0; count <= written.size(); count++) {
      assertSoundRequestsAreSentAfter(written.subList(0, count));
    }
  }

  /** What is written again names no engines, which would show what explains a part. */
  @Test
  void partThatAContentExplainsIsNotHeldBackAfterTheStoreWasRestored() {
    crashThreeUnderOneContent();
    List<QuarantineStore.StoredContent> writtenAgain =
        quarantine.stored().stream().map(held -> stored(held, Set.of())).toList();
    assertThat(writtenAgain).isNotEmpty();
    assertSoundRequestsAreSentAfter(writtenAgain);
  }

  private static QuarantineStore.StoredContent stored(
      RequestFingerprint content, Set<String> engines) {
    return new QuarantineStore.StoredContent(content, 10, engines);
  }

  @Test
  void fingerprintsOfPartsDoNotReadAsThoseOfContents() {
    RequestFingerprint part = request("poison").partFingerprints().get(0);
    assertThat(RequestFingerprint.parse(part.toString())).isEqualTo(part);
    assertThat(part.isPart()).isTrue();
    assertThat(request("poison").fingerprint().isPart()).isFalse();
  }
}

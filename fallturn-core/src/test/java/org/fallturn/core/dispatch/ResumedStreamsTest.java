package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.MODEL;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.streams.KnownOrigin;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamReport;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is bound to a version before it is known which one began its
 * stream, and against one that waits for a confirmation that cannot come any more.
 */
class ResumedStreamsTest {

  private static final String STREAM = "first-attempt";

  /** After the lifetime of all streams that can have begun before this node started. */
  private static final long NOW = START + Duration.ofSeconds(20).toNanos();

  private static final long LATER = NOW + Duration.ofSeconds(2).toNanos();

  private final ServingEngine engine = Requests.engine("d-1", MODEL, "v1", EngineStage.DECODE);
  private final Dispatcher dispatcher = Requests.dispatcher(engine);
  private final ResumedStreams streams = dispatcher.resumedStreams();
  private final RequestProgress resuming = Requests.resuming(STREAM, NOW);

  private KnownOrigin.Evidence evidenceOfStart(long nowNanos) {
    assertThat(dispatcher.start(resuming, nowNanos)).isNotInstanceOf(Decision.Refuse.class);
    return resuming.resumedFrom().orElseThrow().evidence();
  }

  @Test
  void requestWaitsUntilTheListOfEnginesIsConfirmed() {
    streams.tracker().onDirectoryConfirmed(NOW - 1);
    assertThat(streams.lacksConfirmation(resuming, NOW)).isTrue();
    assertThat(streams.awaitsOrigin(resuming, NOW)).isTrue();
    streams.tracker().onDirectoryConfirmed(NOW);
    assertThat(streams.awaitsOrigin(resuming, NOW)).isFalse();
    assertThat(evidenceOfStart(NOW)).isEqualTo(KnownOrigin.Evidence.SOLE_VERSION);
  }

  @Test
  void requestThatGetsNoConfirmationInTimeIsRefusedAsNotRun() {
    assertThat(streams.awaitsOrigin(resuming, LATER)).isFalse();
    Decision decision = dispatcher.start(resuming, LATER);
    assertThat(decision).isInstanceOf(Decision.Refuse.class);
    Decision.Refuse refuse = (Decision.Refuse) decision;
    assertThat(refuse.cause()).isEqualTo(RefusalCause.ORIGIN_UNKNOWN);
    assertThat(refuse.reason()).contains("not confirmed");
    assertThat(refuse.retryAfter()).isPresent();
  }

  @Test
  void reportedOriginNeedsNoConfirmation() {
    StreamOrigin origin = new StreamOrigin(StreamOrigin.key("", STREAM), MODEL, "v1");
    streams.tracker().onPeerReport(new StreamReport(Map.of(), List.of(origin)), NOW);
    assertThat(streams.lacksConfirmation(resuming, NOW)).isFalse();
    assertThat(streams.awaitsOrigin(resuming, NOW)).isFalse();
    assertThat(evidenceOfStart(NOW)).isEqualTo(KnownOrigin.Evidence.REPORTED);
  }
}

package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;

/**
 * Engines whose answers come slowly and do not tell their end, until the engines are killed and
 * others start in their place. One thread begins and ends this.
 */
final class SoakKills {

  /** So long that a kill meets answers in all their parts. */
  private static final Duration PART_PAUSE = Duration.ofMillis(60);

  private final EmulatedPlatform platform;
  private final Map<Integer, List<EmulatedEngine>> doomed = new HashMap<>();

  SoakKills(EmulatedPlatform platform) {
    this.platform = platform;
  }

  /** An engine that decodes and one of an application begin to answer slowly. */
  void begin(int target) {
    List<EmulatedEngine> engines =
        Stream.of(
                engineOf(EmulatedPlatform.MODEL_SERVICE, "decode", target),
                engineOf(EmulatedPlatform.APPLICATION_SERVICE, "", target))
            .filter(Objects::nonNull)
            .toList();
    for (EmulatedEngine engine : engines) {
      engine.endAnswersWithConnection(true);
      engine.pauseInAnswers(PART_PAUSE);
    }
    doomed.put(target, engines);
  }

  private EmulatedEngine engineOf(String service, String stage, int target) {
    List<EmulatedEngine> engines =
        platform.engines().stream()
            .filter(engine -> engine.service().equals(service) && engine.stage().equals(stage))
            .toList();
    return engines.isEmpty() ? null : engines.get(Math.floorMod(target, engines.size()));
  }

  /** Kills them, on a thread of its own since their servers take a moment to end. */
  void end(int target) {
    List<EmulatedEngine> engines = doomed.remove(target);
    new Thread(() -> engines.forEach(platform::kill), "kills").start();
  }
}

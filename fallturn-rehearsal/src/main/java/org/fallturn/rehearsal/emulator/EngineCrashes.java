package org.fallturn.rehearsal.emulator;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;

/** The requests that crash an engine. Thread-safe. */
final class EngineCrashes {

  private final List<Crash> crashes = new CopyOnWriteArrayList<>();

  /**
   * A crash on some requests.
   *
   * @param crashed is called once the engine has crashed, and is to close it
   */
  record Crash(PoisonRequests requests, EngineCrash when, Consumer<EmulatedEngine> crashed) {}

  void add(Crash crash) {
    crashes.add(crash);
  }

  /**
   * The crash on a request.
   *
   * @param onlyReads whether the prompt is only to be read
   */
  Optional<Crash> of(HttpFields headers, String body, boolean onlyReads) {
    return crashes.stream()
        .filter(known -> known.requests().include(headers, body))
        .findFirst()
        .filter(known -> !onlyReads || known.when() == EngineCrash.WHILE_READING);
  }
}

package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.routing.ServingEngine;

/** What is to be done next for a request. */
public sealed interface Decision {

  /**
   * Have an engine read the prompt and keep its KV cache for another engine.
   *
   * @param engine the engine
   * @param fetchFrom engine whose cached parts it copies first
   * @param urgency order among the engine's requests; 0 is first
   * @param estimate what it was decided from
   * @param timeout how long to wait for it
   */
  record Prefill(
      ServingEngine engine,
      Optional<ServingEngine> fetchFrom,
      int urgency,
      PlacementEstimate estimate,
      AttemptTimeout timeout)
      implements Decision {}

  /**
   * Have an engine run the request.
   *
   * @param engine the engine
   * @param source where it fetches the prompt's KV cache; empty when it reads the prompt itself
   * @param fetchFrom engine whose cached parts it copies first
   * @param urgency order among the engine's requests; 0 is first
   * @param estimate what it was decided from
   * @param timeout how long to wait for the head of its answer
   */
  record Run(
      ServingEngine engine,
      Optional<CacheSource> source,
      Optional<ServingEngine> fetchFrom,
      int urgency,
      PlacementEstimate estimate,
      AttemptTimeout timeout)
      implements Decision {}

  /**
   * End the request with an error of this node.
   *
   * @param kind entry of the closed list
   * @param cause why, for figures
   * @param reason for people
   * @param retryAfter when to come back, for a request that was not run
   */
  record Refuse(ErrorKind kind, RefusalCause cause, String reason, Optional<Duration> retryAfter)
      implements Decision {}

  /**
   * Keep the request at this node until an engine has room for it.
   *
   * @param forecastMillis in about how many ms that will be
   * @param ahead requests of its service that wait here already
   */
  record Wait(double forecastMillis, int ahead) implements Decision {}

  /** Pass on the failure that the last engine answered with. */
  record PassFailure() implements Decision {}
}

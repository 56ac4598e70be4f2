package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.routing.ServingEngine;

/** The next step for a request. */
public sealed interface Decision {

  /**
   * Send the prompt to an engine that reads it and keeps the KV cache for another engine.
   *
   * @param engine the engine that reads the prompt
   * @param fetchFrom the engine from which it first copies cached parts of the prompt; empty when
   *     it copies none
   * @param urgency urgency level among the engine's requests, 0 goes first
   * @param estimate the figures that this decision is based on, for logs
   * @param timeout how long to wait for the engine's answer
   */
  record Prefill(
      ServingEngine engine,
      Optional<ServingEngine> fetchFrom,
      int urgency,
      PlacementEstimate estimate,
      AttemptTimeout timeout)
      implements Decision {}

  /**
   * Send the request to an engine that runs it.
   *
   * @param engine the engine that runs the request
   * @param source where it fetches the KV cache of the prompt; empty when it reads the prompt
   *     itself
   * @param fetchFrom the engine from which it first copies cached parts of the prompt; empty when
   *     it copies none
   * @param urgency urgency level among the engine's requests, 0 goes first
   * @param estimate the figures that this decision is based on, for logs
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
   * @param answer what the caller gets
   * @param cause the cause by which metrics and logs count the refusal
   * @param reason explanation for people
   */
  record Refuse(ErrorAnswer answer, RefusalCause cause, String reason) implements Decision {

    /** Error kind in the answer. */
    public ErrorKind kind() {
      return answer.kind();
    }

    /** When the caller may try again; empty if the request may have run or a retry is in vain. */
    public Optional<Duration> retryAfter() {
      return answer.retryAfter();
    }
  }

  /**
   * Keep the request at this node until an engine has room for it.
   *
   * @param forecastMillis estimated wait, in ms
   * @param ahead number of requests of the same service that already wait here
   */
  record Wait(double forecastMillis, int ahead) implements Decision {}

  /** Pass the failure that the last engine answered with on to the caller. */
  record PassFailure() implements Decision {}
}

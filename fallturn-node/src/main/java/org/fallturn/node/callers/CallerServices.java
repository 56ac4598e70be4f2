package org.fallturn.node.callers;

import java.util.function.Supplier;
import org.fallturn.core.admission.AdmissionControl;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.core.placement.PlacementService;
import org.fallturn.node.application.BackEndSelector;
import org.fallturn.node.application.ForwardClient;
import org.fallturn.node.engine.EngineClient;
import org.fallturn.node.json.JsonCodec;

/** What every request of the callers' door works with. Immutable; shared by all threads. */
record CallerServices(
    CallersModuleSettings settings,
    PlacementService placement,
    AdmissionControl admission,
    Supplier<ConfigurationImage> configuration,
    EngineClient engines,
    ForwardClient forward,
    BackEndSelector backEnds,
    RequestClaims claims,
    InFlightRequests inFlight,
    CallerAnswers answers,
    CallerMetrics metrics,
    JsonCodec codec) {

  /** Answers a request that did not start, or failed, with its error. */
  void refuse(CallerRequest caller, FallturnException error) {
    metrics.failed(error.kind());
    answers.error(caller, error);
  }

  /** Answers a retry with the stored answer. */
  void replay(CallerRequest caller, StoredAnswer answer) {
    metrics.replayed();
    answers.stored(caller, answer);
  }
}

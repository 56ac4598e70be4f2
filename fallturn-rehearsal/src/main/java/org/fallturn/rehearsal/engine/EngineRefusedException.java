package org.fallturn.rehearsal.engine;

import org.fallturn.core.port.engine.EngineRefusal;
import org.fallturn.core.port.engine.EngineRefusal.Reason;

/** The engine did not start the work. */
final class EngineRefusedException extends Exception {

  private final transient EngineRefusal refusal;

  EngineRefusedException(Reason reason, String message) {
    super(message);
    this.refusal = new EngineRefusal(reason, message);
  }

  EngineRefusal refusal() {
    return refusal;
  }
}

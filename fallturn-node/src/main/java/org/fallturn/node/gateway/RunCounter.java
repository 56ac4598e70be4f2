package org.fallturn.node.gateway;

import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.usage.UsageCounts;

/**
 * Observer that counts requests which start to run, each once, for usage reports. Called on the
 * dispatch thread.
 */
interface RunCounter {

  /** Counts nothing; for nodes that report no usage. */
  RunCounter NONE =
      new RunCounter() {
        @Override
        public void onBegan(Exchange exchange) {}

        @Override
        public void onFailed(Exchange exchange, AttemptOutcome outcome, long nowNanos) {}

        @Override
        public void onEnded(Exchange exchange, long nowNanos) {}

        @Override
        public void onPeerReport(UsageCounts news) {}

        @Override
        public void onDone(long window) {}

        @Override
        public void onTick(long nowNanos) {}
      };

  /** The answer of a request has begun. */
  void onBegan(Exchange exchange);

  /** An attempt ended without a complete, good answer. */
  void onFailed(Exchange exchange, AttemptOutcome outcome, long nowNanos);

  /** A request ended: the answer is complete, the caller disconnected, or the deadline passed. */
  void onEnded(Exchange exchange, long nowNanos);

  /** Another process sent its counts. */
  void onPeerReport(UsageCounts news);

  /** A window was reported, or will not be reported by this node. */
  void onDone(long window);

  /** Called several times a second. */
  void onTick(long nowNanos);
}

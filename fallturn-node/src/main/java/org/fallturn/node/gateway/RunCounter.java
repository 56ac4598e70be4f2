package org.fallturn.node.gateway;

import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.usage.UsageCounts;

/** Hears of requests that begin to run, each of which counts once. On the dispatch thread. */
interface RunCounter {

  /** Counts nothing, where nobody asks for it. */
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
        public void onReported(long window) {}

        @Override
        public void onTick(long nowNanos) {}
      };

  /** The answer of a request has begun. */
  void onBegan(Exchange exchange);

  /** An attempt ended without a whole, good answer. */
  void onFailed(Exchange exchange, AttemptOutcome outcome, long nowNanos);

  /** A request is over: it was answered whole, or its caller left, or its time is over. */
  void onEnded(Exchange exchange, long nowNanos);

  /** Another process told what it has counted. */
  void onPeerReport(UsageCounts news);

  /** The report of a window was taken, by this node or another. */
  void onReported(long window);

  /** Called several times a second. */
  void onTick(long nowNanos);
}

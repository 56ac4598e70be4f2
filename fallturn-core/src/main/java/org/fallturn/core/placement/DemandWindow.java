package org.fallturn.core.placement;

/** Counts what happened since the last observation. */
final class DemandWindow {
  long startNanos;
  int arrivedRequests;
  long arrivedPromptTokens;
  long arrivedOutputTokens;
  long placedPromptTokens;
  long placedOutputTokens;
  int refusedRequests;
  int completedRequests;
  int expiredRequests;

  DemandWindow(long startNanos) {
    this.startNanos = startNanos;
  }

  void arrived(int promptTokens, int outputTokens) {
    arrivedRequests++;
    arrivedPromptTokens += promptTokens;
    arrivedOutputTokens += outputTokens;
  }

  void placed(int promptTokens, int outputTokens) {
    placedPromptTokens += promptTokens;
    placedOutputTokens += outputTokens;
  }
}

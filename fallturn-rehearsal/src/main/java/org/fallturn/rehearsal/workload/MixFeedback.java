package org.fallturn.rehearsal.workload;

/** What an adversarial workload sees of the fleet it plays against. */
@FunctionalInterface
public interface MixFeedback {
  /** Feedback for workloads that do not react. */
  MixFeedback NONE = () -> 0.5;

  /** Share of the engines that prefill now, 0 to 1. */
  double prefillShare();
}

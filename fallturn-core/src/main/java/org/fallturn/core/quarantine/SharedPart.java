package org.fallturn.core.quarantine;

/**
 * A part of a prompt that other requests may have as well. The model belongs to it, since another
 * model may withstand a part that crashes the engines of this one.
 *
 * @param model name of the model that reads the prompt
 * @param id identifies the text of the part
 */
public record SharedPart(String model, String id) {

  private static final int SKETCH_FACTOR = 31;

  /** A cheap hash that is the same in every process; equal for equal parts. */
  int sketch() {
    return SKETCH_FACTOR * model.hashCode() + id.hashCode();
  }
}

/**
 * The callers' door: OpenAI-style completions, application services, API keys, limits and errors.
 */
package org.fallturn.node.callers;

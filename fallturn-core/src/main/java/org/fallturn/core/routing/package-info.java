/**
 * Routes from host and path to services, and the engines that serve them: the two images that a
 * node believes in and decides from. Pure and immutable; a new image replaces the old one whole.
 */
package org.fallturn.core.routing;

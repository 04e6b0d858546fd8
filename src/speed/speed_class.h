/// Classes of speed, for decisions that must not change with each sample.
#ifndef CROWSTEP_SPEED_SPEED_CLASS_H
#define CROWSTEP_SPEED_SPEED_CLASS_H

namespace crowstep::speed {

/// Returns the class of an upstream of \p Speed whose class was \p Current.
/// Class 0 is that of the mean; each class is 1.6 times as fast as the one
/// below.
int nextSpeedClass(int Current, double Speed);

} // namespace crowstep::speed

#endif // CROWSTEP_SPEED_SPEED_CLASS_H
